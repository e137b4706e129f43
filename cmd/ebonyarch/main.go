// Command ebonyarch schedules latency-critical services and batch work on shared VMs.
// Run "ebonyarch help" for a list of its subcommands.
package main

import (
	"os"

	"github.com/ebonyarch/ebonyarch/internal/tool/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
