// Review runs a case of the second review: a small deployment of the project's own processes on
// loopback addresses, with stand-ins for the platform's store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

var cases = map[string]func(*Recorder, bool) (int, error){
	"large":    largeJob,
	"moves":    moves,
	"fills":    fills,
	"advice":   advised,
	"services": services,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(invalid)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	status, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("case-could-not-run", "err", err)
		fmt.Fprintln(os.Stderr, err)
		status = invalid
	}
	rec.add("result", "status", status)
	os.Exit(status)
}
