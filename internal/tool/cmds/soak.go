package cmds

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/logs"
	"github.com/ebonyarch/ebonyarch/internal/proof/soak"
)

// soakCommand runs the real processes under faults from outside.
func (r *root) soakCommand() *cobra.Command {
	var o soak.Options
	var seeds int
	var regressions bool
	cmd := &cobra.Command{
		Use: "soak", Short: "Run entries and agents as processes under faults, and check what callers and workers see",
		Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			failed := 0
			list := seedsFrom(o.Seed, seeds, regressions)
			for _, o.Seed = range list {
				if err := soak.Run(ctx, o, r.stdout, logs.New(r.stderr, slog.LevelError)); err != nil {
					failed++
					fmt.Fprintln(r.stderr, err)
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, len(list))
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().BoolVar(&regressions, "regressions", false, "run the seeds that ever failed instead")
	cmd.Flags().DurationVar(&o.For, "for", 10*time.Second, "how long faults come in each seed")
	cmd.Flags().IntVar(&o.Entries, "entries", 3, "number of entries")
	cmd.Flags().IntVar(&o.VMs, "vms", 4, "number of VMs")
	cmd.Flags().BoolVarP(&o.Verbose, "verbose", "v", false, "write each fault as it comes")
	return cmd
}

// seedsFrom returns the seeds to run.
func seedsFrom(first uint64, n int, regressions bool) []uint64 {
	var list []uint64
	if regressions {
		for _, r := range soak.Regressions {
			list = append(list, r.Seed)
		}
		return list
	}
	for i := range n {
		list = append(list, first+uint64(i))
	}
	return list
}
