package cmds

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

func (o *clientOptions) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history TEAM", Short: "Show the changes of a team's configuration, with author and time", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) ([]view.Change, error) {
				return c.History(ctx, args[0])
			}, o.printHistory)
		},
	}
}

func (o *clientOptions) printHistory(changes []view.Change) {
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

func (o *clientOptions) rollbackCommand() *cobra.Command {
	var to uint64
	cmd := &cobra.Command{
		Use: "rollback TEAM", Short: "Publish an earlier revision again, as a new one", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (view.Published, error) {
				n, err := currentRevision(ctx, c, args[0])
				if err != nil {
					return view.Published{}, err
				}
				return c.Rollback(ctx, args[0], n, to, o.author)
			}, o.printPublished)
		},
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "revision to publish again (required)")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}

func (o *clientOptions) deleteCommand() *cobra.Command {
	return &cobra.Command{
		Use: "delete TEAM", Short: "Delete a team's configuration; accepted jobs run on", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (view.Published, error) {
				n, err := currentRevision(ctx, c, args[0])
				if err != nil {
					return view.Published{}, err
				}
				return c.Delete(ctx, args[0], n, o.author)
			}, o.printPublished)
		},
	}
}
