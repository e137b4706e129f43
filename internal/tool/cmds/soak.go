package cmds

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/logs"
	"github.com/ebonyarch/ebonyarch/internal/proof/soak"
)

// soakCommand returns the command that runs entries and agents as operating system
// processes and injects faults from outside.
func (r *root) soakCommand() *cobra.Command {
	var o soak.Options
	var seeds int
	var regressions bool
	cmd := &cobra.Command{
		Use: "soak", Short: "Run entries and agents as processes, inject faults, and check what callers and workers observe",
		Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSeeds(seeds); err != nil {
				return err
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			failed := 0
			all := seedsFrom(o.Seed, seeds, regressions)
			for _, o.Seed = range all {
				if err := soak.Run(ctx, o, r.stdout, logs.New(r.stderr, slog.LevelError)); err != nil {
					failed++
					fmt.Fprintln(r.stderr, err)
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, len(all))
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().BoolVar(&regressions, "regressions", false, "run the seeds that failed in the past instead")
	cmd.Flags().DurationVar(&o.For, "for", 10*time.Second, "how long faults are injected for each seed")
	cmd.Flags().IntVar(&o.Entries, "entries", 3, "number of entries")
	cmd.Flags().IntVar(&o.VMs, "vms", 4, "number of VMs")
	cmd.Flags().BoolVarP(&o.Verbose, "verbose", "v", false, "print each fault when it is injected")
	return cmd
}

// seedsFrom returns the known regressions, or n seeds starting with first.
func seedsFrom(first uint64, n int, regressions bool) []uint64 {
	var all []uint64
	if regressions {
		for _, r := range soak.Regressions {
			all = append(all, r.Seed)
		}
		return all
	}
	for i := range n {
		all = append(all, first+uint64(i))
	}
	return all
}
