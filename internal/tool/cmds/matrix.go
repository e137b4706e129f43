package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/proof/matrix"
)

// errMatrix is returned if a check failed in a cell of the fault matrix. A cell is one
// simulated run with its own combination of faults and steps.
var errMatrix = errors.New("checks failed in the fault matrix")

func (r *root) matrixCommand() *cobra.Command {
	var seed uint64
	var seeds, pairs int
	var only string
	cmd := &cobra.Command{
		Use: "matrix", Short: "Simulate every fault at every step of a run and check the invariants",
		Args: exactArgs(0, "none"),
		RunE: func(*cobra.Command, []string) error {
			if err := checkSeeds(seeds); err != nil {
				return err
			}
			failed := 0
			for n := range uint64(seeds) {
				cells := append(matrix.Cells(seed+n), matrix.Pairs(1000*(seed+n), pairs)...)
				if only != "" {
					cells = matrix.Filter(cells, only)
				}
				matrix.RunCells(cells)
				failed += r.reportMatrix(cells, seed+n)
			}
			if only != "" && seeds == 1 && failed > 0 {
				cells := matrix.Filter(append(matrix.Cells(seed), matrix.Pairs(1000*seed, pairs)...), only)
				matrix.Run(cells[0].Seed, os.Stderr, cells[0].Injections...)
			}
			if failed > 0 {
				return errMatrix
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().IntVar(&pairs, "pairs", 120, "pairs of faults for each seed")
	cmd.Flags().StringVar(&only, "only", "", "run only cells whose name contains this text; with one seed, print the log of the first if any fails")
	return cmd
}

// reportMatrix prints the results and returns the number of cells that failed.
func (r *root) reportMatrix(cells []*matrix.Cell, seed uint64) int {
	s := matrix.Summarize(cells)
	if seed == 1 {
		matrix.Print(r.stdout, cells)
	}
	for _, c := range cells {
		if len(c.Faults) > 0 {
			fmt.Fprintf(r.stdout, "red: %s\n", c)
			for _, f := range c.Faults[:min(3, len(c.Faults))] {
				fmt.Fprintf(r.stdout, "     %s\n", f)
			}
		}
	}
	fmt.Fprintf(r.stdout, "seed %d: run=%d held=%d red=%d notReached=%d notApplicable=%d\n",
		seed, s.Run, s.Passed, s.Failed, s.NotReached, s.NotApplicable)
	return s.Failed
}
