package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

// operator is what the commands that call an entry share.
type operator struct {
	*root
	addr   string
	output string
	author string
}

func (r *root) operator(cmd *cobra.Command) *operator {
	o := &operator{root: r}
	cmd.PersistentFlags().StringVar(&o.addr, "entry", "127.0.0.1:8080", "address for callers of an entry")
	cmd.PersistentFlags().StringVarP(&o.output, "output", "o", "text", "format of the answer: text or json")
	cmd.PersistentFlags().StringVar(&o.author, "author", os.Getenv("USER"), "who makes the change, for the history")
	return o
}

func (o *operator) client() (*client.Client, error) {
	addr, err := netip.ParseAddrPort(o.addr)
	if err != nil {
		return nil, fmt.Errorf("%w: --entry: %v", errUsage, err)
	}
	if o.output != "text" && o.output != "json" {
		return nil, fmt.Errorf("%w: --output: want text or json, got %q", errUsage, o.output)
	}
	return &client.Client{Addr: addr}, nil
}

// call runs f against the entry and prints what it returns: as JSON, or as text.
func call[V any](o *operator, f func(ctx context.Context, c *client.Client) (V, error), text func(V)) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), client.DefaultTimeout)
	defer cancel()
	v, err := f(ctx, c)
	if err != nil {
		return err
	}
	if o.output == "json" {
		enc := json.NewEncoder(o.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(v)
	return nil
}

func (r *root) jobCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Submit, list and cancel batch jobs"}
	o := r.operator(cmd)
	var spec entry.JobSpec
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
	submit.Flags().StringVar(&input, "input", "", "JSON handed to every task")
	_ = submit.MarkFlagRequired("key")
	list := &cobra.Command{
		Use: "list TEAM", Short: "List a team's jobs", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) ([]entry.JobView, error) {
				return c.Jobs(ctx, args[0])
			}, o.printJobs)
		},
	}
	get := &cobra.Command{
		Use: "get TEAM JOB", Short: "Show a job and its tasks", Args: exactArgs(2, "team and job"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (entry.JobView, error) {
				return c.Job(ctx, args[0], args[1])
			}, o.printJob)
		},
	}
	cancel := &cobra.Command{
		Use: "cancel TEAM JOB", Short: "Cancel what is left of a job", Args: exactArgs(2, "team and job"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (entry.JobView, error) {
				return c.Cancel(ctx, args[0], args[1])
			}, o.printJob)
		},
	}
	cmd.AddCommand(submit, list, get, cancel)
	return cmd
}

func (o *operator) printJobs(jobs []entry.JobView) {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tKIND\tKEY\tTASKS\tCOUNTS\tACCEPTED")
	for _, j := range jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%s\n", j.ID, j.Kind, j.Key, j.Tasks, j.Counts, j.Accepted.Format("2006-01-02 15:04:05"))
	}
	w.Flush()
}

func (o *operator) printJob(j entry.JobView) {
	o.printJobs([]entry.JobView{j})
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tATTEMPT\tVM\tFAILURES\tEVICTIONS\tREASON")
	for _, t := range j.List {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%s\n", t.Index, t.State, t.Attempt, t.VM, t.Failures, t.Evictions, t.Reason)
	}
	w.Flush()
}

func (r *root) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, publish and compare a team's configuration"}
	o := r.operator(cmd)
	cmd.AddCommand(o.checkCommand(), o.getCommand(), o.publishCommand(), o.diffCommand(),
		o.historyCommand(), o.rollbackCommand(), o.deleteCommand())
	return cmd
}

func (o *operator) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check configuration files without an entry",
		RunE: func(_ *cobra.Command, args []string) error {
			var all []string
			for _, file := range args {
				body, err := os.ReadFile(file)
				if err != nil {
					return codes.Wrap(err, codes.ConfigInvalid, "cannot read")
				}
				if _, faults := teams.Parse(file, body); len(faults) > 0 {
					all = append(all, faults.Error())
				}
			}
			if len(all) > 0 {
				return codes.New(codes.ConfigInvalid, "%s", strings.Join(all, "\n"))
			}
			return nil
		},
	}
}

func (o *operator) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get TEAM", Short: "Print the configuration in force", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (string, error) {
				body, _, err := c.Config(ctx, args[0])
				return string(body), err
			}, func(body string) { fmt.Fprint(o.stdout, body) })
		},
	}
}

// revision returns the team's revision in force, 0 if it has none.
func revision(ctx context.Context, c *client.Client, team string) (uint64, error) {
	changes, err := c.History(ctx, team)
	if codes.Of(err) == codes.UnknownTeam {
		return 0, nil
	}
	if err != nil || len(changes) == 0 {
		return 0, err
	}
	return changes[len(changes)-1].Revision, nil
}

func (o *operator) printPublished(p entry.Published) {
	fmt.Fprintf(o.stdout, "%s is at revision %d\n", p.Team, p.Revision)
	for _, w := range p.Warnings {
		fmt.Fprintln(o.stderr, "warning:", w)
	}
}

func (o *operator) publishCommand() *cobra.Command {
	base := int64(-1)
	cmd := &cobra.Command{
		Use: "publish TEAM FILE", Short: "Publish a team's configuration", Args: exactArgs(2, "team and file"),
		Long: `Publish a team's configuration. It is refused if another revision was published
since the one named by --base, or since the one in force now if --base is not given.`,
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return codes.Wrap(err, codes.ConfigInvalid, "cannot read")
			}
			return call(o, func(ctx context.Context, c *client.Client) (entry.Published, error) {
				n := uint64(base)
				if base < 0 {
					var err error
					if n, err = revision(ctx, c, args[0]); err != nil {
						return entry.Published{}, err
					}
				}
				return c.Publish(ctx, args[0], n, o.author, body)
			}, o.printPublished)
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the file builds on")
	return cmd
}

func (o *operator) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff TEAM FILE", Short: "Compare a file with the configuration in force", Args: exactArgs(2, "team and file"),
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return codes.Wrap(err, codes.ConfigInvalid, "cannot read")
			}
			return call(o, func(ctx context.Context, c *client.Client) ([]string, error) {
				inForce, _, err := c.Config(ctx, args[0])
				if err != nil && codes.Of(err) != codes.UnknownTeam {
					return nil, err
				}
				return diffLines(string(inForce), string(body)), nil
			}, func(lines []string) {
				for _, line := range lines {
					fmt.Fprintln(o.stdout, line)
				}
			})
		},
	}
}

func (o *operator) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history TEAM", Short: "Show who changed what and when", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) ([]entry.ChangeView, error) {
				return c.History(ctx, args[0])
			}, o.printHistory)
		},
	}
}

func (o *operator) printHistory(changes []entry.ChangeView) {
	before := ""
	for _, c := range changes {
		fmt.Fprintf(o.stdout, "revision %d by %s at %s", c.Revision, c.Author, c.At.Format("2006-01-02 15:04:05"))
		switch {
		case c.Deleted:
			fmt.Fprint(o.stdout, ", deleted")
		case c.RollbackOf > 0:
			fmt.Fprintf(o.stdout, ", as revision %d was", c.RollbackOf)
		}
		fmt.Fprintln(o.stdout)
		for _, line := range diffLines(before, c.Body) {
			fmt.Fprintln(o.stdout, "  "+line)
		}
		before = c.Body
	}
}

func (o *operator) rollbackCommand() *cobra.Command {
	var to uint64
	cmd := &cobra.Command{
		Use: "rollback TEAM", Short: "Publish an earlier revision again, as a new one", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (entry.Published, error) {
				n, err := revision(ctx, c, args[0])
				if err != nil {
					return entry.Published{}, err
				}
				return c.Rollback(ctx, args[0], n, to, o.author)
			}, o.printPublished)
		},
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "revision to publish again (required)")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}

func (o *operator) deleteCommand() *cobra.Command {
	return &cobra.Command{
		Use: "delete TEAM", Short: "Delete a team's configuration; accepted jobs run on", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (entry.Published, error) {
				n, err := revision(ctx, c, args[0])
				if err != nil {
					return entry.Published{}, err
				}
				return c.Delete(ctx, args[0], n, o.author)
			}, o.printPublished)
		},
	}
}

func (r *root) stateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "state ADMIN-ADDRESS", Short: "Print the state of a process", Args: exactArgs(1, "administrative address"),
		RunE: func(_ *cobra.Command, args []string) error {
			o := &operator{root: r, addr: args[0], output: "json"}
			return call(o, func(ctx context.Context, c *client.Client) (json.RawMessage, error) {
				return c.State(ctx)
			}, nil)
		},
	}
}
