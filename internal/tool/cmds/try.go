package cmds

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/tool/trial"
)

// errTrial is returned if a check of the trial failed.
var errTrial = errors.New("the trial failed")

func (r *root) tryCommand() *cobra.Command {
	o := trial.Options{Out: r.stdout}
	var workload string
	var keep bool
	cmd := &cobra.Command{
		Use: "try", Short: "Run the whole system on this machine, with stand-ins for the platform",
		Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var ok bool
			if o.Workload, ok = trial.Workloads()[workload]; !ok {
				return fmt.Errorf("%w: --workload: want %s, got %q", errUsage, workloadNames(), workload)
			}
			if !cmd.Flags().Changed("log-level") {
				r.logLevel = "error"
			}
			log, err := r.logger()
			if err != nil {
				return err
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			if keep {
				o.BeforeStop = func(f *trial.Fleet) {
					printFleet(r, f)
					<-ctx.Done()
				}
			}
			outcome, err := trial.Run(ctx, o, log)
			if err == nil && !outcome.Passed() {
				err = errTrial
			}
			return err
		},
	}
	cmd.Flags().StringVar(&workload, "workload", "tlacuilo", "requests and job to send: "+workloadNames())
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed that determines the requests and the VMs that fail")
	cmd.Flags().IntVar(&o.Requests, "requests", 400, "number of requests to send")
	cmd.Flags().Uint32Var(&o.Tasks, "tasks", 40, "number of tasks of the job")
	cmd.Flags().BoolVar(&keep, "keep", false, "keep the system running afterwards and print its addresses")
	return cmd
}

func workloadNames() string {
	var names []string
	for name := range trial.Workloads() {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " or ")
}

func printFleet(r *root, f *trial.Fleet) {
	for i, e := range f.Entries {
		fmt.Fprintf(r.stdout, "entry-%d: callers %s, admin %s\n", i+1, e.Addr(), e.AdminAddr())
	}
	for _, v := range f.VMs {
		fmt.Fprintf(r.stdout, "%s: admin %s\n", v.Name, v.Agent.AdminAddr())
	}
}
