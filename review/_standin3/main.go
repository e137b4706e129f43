// Standin3 plays the scripts of the review of issue 51. It starts the project's entries and agents as
// processes on loopback addresses, with stand-ins for the store, the workers and the clients.
//
// Usage: standin3 CASE ROOT RECORD
//
// ROOT is the folder of the project, RECORD the file that says what was sent, answered and run.
// With TROUBLE=0 in the environment the disruption is left out, with KEEP=1 the processes' logs stay.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case, used as the exit code.
type verdict int

const (
	held verdict = iota
	broken
	cannotRun
)

// maxTime limits the time of a case.
const maxTime = 115 * time.Second

// cases holds the cases by name.
var cases = map[string]func(rec *record, root string, trouble bool) verdict{
	"fills": fills, "greygang": greyGang,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE ROOT RECORD")
		os.Exit(int(cannotRun))
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	rec := &record{f: f, began: time.Now()}
	// The processes that were started end with this one.
	time.AfterFunc(maxTime, func() {
		say(rec, "the case cannot run: it took %s", maxTime)
		os.Exit(int(cannotRun))
	})
	v := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	f.Close()
	os.Exit(int(v))
}
