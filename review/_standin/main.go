// Command standin holds the stand-ins of the review's scripts: the platform's store, a
// worker, and the driver that starts the processes of a small deployment and plays a case.
//
//	standin store ADDR
//	standin worker ADDR REGISTRY ID SERVICE LABEL CPU MEMORY
//	standin drive CASE DEPLOYFILE RECORD
package main

import (
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) < 3 {
		fail("usage: standin store|worker|drive ...")
	}
	args := os.Args[2:]
	switch os.Args[1] {
	case "store":
		serveStore(args[0])
	case "worker":
		if len(args) != 7 {
			fail("usage: standin worker ADDR REGISTRY ID SERVICE LABEL CPU MEMORY")
		}
		serveWorker(args[0], args[1], args[2], args[3], args[4], number(args[5]), number(args[6]))
	case "drive":
		if len(args) != 3 {
			fail("usage: standin drive CASE DEPLOYFILE RECORD")
		}
		os.Exit(drive(args[0], args[1], args[2]))
	default:
		fail("unknown command " + os.Args[1])
	}
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		fail(err.Error())
	}
	return n
}

// fail ends the process with the status of a case that cannot run.
func fail(message string) {
	fmt.Fprintln(os.Stderr, message)
	os.Exit(2)
}
