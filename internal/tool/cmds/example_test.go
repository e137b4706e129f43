package cmds_test

import (
	"os"

	"github.com/ebonyarch/ebonyarch/internal/tool/cmds"
)

// The version command writes to standard output.
func Example() {
	cmds.Main([]string{"version"}, os.Stdout, os.Stderr)
	// Output: ebonyarch 0.1.0
}
