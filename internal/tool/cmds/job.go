package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

func (r *root) jobCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Submit, list and cancel batch jobs"}
	o := r.clientOptions(cmd)
	var spec view.JobSpec
	var key, input string
	submit := &cobra.Command{
		Use: "submit TEAM KIND", Short: "Submit a job", Args: exactArgs(2, "team and kind"),
		Long: "Submit a job. Submitting again under the same key returns the same job.",
		RunE: func(_ *cobra.Command, args []string) error {
			spec.Kind = args[1]
			if input != "" {
				spec.Input = json.RawMessage(input)
			}
			return call(o, func(ctx context.Context, c *client.Client) (string, error) {
				return c.Submit(ctx, args[0], key, spec)
			}, func(id string) { fmt.Fprintln(o.stdout, id) })
		},
	}
	submit.Flags().StringVar(&key, "key", "", "idempotency key (required)")
	submit.Flags().Uint32Var(&spec.Tasks, "tasks", 1, "number of tasks")
	submit.Flags().StringVar(&spec.Work, "work", "", "expected run time of one task, as in 30s")
	submit.Flags().StringVar(&input, "input", "", "JSON passed to every task")
	_ = submit.MarkFlagRequired("key")
	list := &cobra.Command{
		Use: "list TEAM", Short: "List a team's jobs", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) ([]view.Job, error) {
				return c.Jobs(ctx, args[0])
			}, o.printJobs)
		},
	}
	get := &cobra.Command{
		Use: "get TEAM JOB", Short: "Show a job and its tasks", Args: exactArgs(2, "team and job"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (view.Job, error) {
				return c.Job(ctx, args[0], args[1])
			}, o.printJob)
		},
	}
	cancel := &cobra.Command{
		Use: "cancel TEAM JOB", Short: "Cancel the tasks of a job that have not ended", Args: exactArgs(2, "team and job"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (view.Job, error) {
				return c.Cancel(ctx, args[0], args[1])
			}, o.printJob)
		},
	}
	cmd.AddCommand(submit, list, get, cancel)
	return cmd
}

func (o *clientOptions) printJobs(jobs []view.Job) {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tKIND\tKEY\tTASKS\tCOUNTS\tACCEPTED")
	for _, j := range jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", j.ID, j.Kind, j.Key, j.Tasks, formatCounts(j.Counts), j.Accepted.Format("2006-01-02 15:04:05"))
	}
	w.Flush()
}

func (o *clientOptions) printJob(j view.Job) {
	o.printJobs([]view.Job{j})
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tATTEMPT\tVM\tFAILURES\tEVICTIONS\tREASON")
	for _, t := range j.List {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%s\n", t.Index, t.State, t.Attempt, t.VM, t.Failures, t.Evictions, t.Reason)
	}
	w.Flush()
}

// formatCounts formats the number of tasks by state, as in "3 completed, 2 granted".
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
	}
	return strings.Join(parts, ", ")
}
