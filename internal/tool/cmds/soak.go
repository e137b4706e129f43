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
	cmd := &cobra.Command{
		Use: "soak", Short: "Run entries and agents as processes under faults, and check what callers and workers see",
		Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			failed := 0
			for range seeds {
				if err := soak.Run(ctx, o, r.stdout, logs.New(r.stderr, slog.LevelError)); err != nil {
					failed++
					fmt.Fprintln(r.stderr, err)
				}
				if ctx.Err() != nil {
					return ctx.Err()
				}
				o.Seed++
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, seeds)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().DurationVar(&o.For, "for", 10*time.Second, "how long faults come in each seed")
	cmd.Flags().IntVar(&o.Entries, "entries", 3, "number of entries")
	cmd.Flags().IntVar(&o.VMs, "vms", 4, "number of VMs")
	cmd.Flags().BoolVarP(&o.Verbose, "verbose", "v", false, "write each fault as it comes")
	return cmd
}
