// Command ebonyarch schedules latency-critical services and batch work on
// shared VMs. "ebonyarch help" lists what it does.
package main

import (
	"os"

	"github.com/ebonyarch/ebonyarch/internal/tool/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
