package cmds

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/node/view"
	"github.com/ebonyarch/ebonyarch/internal/tool/client"
)

func (r *root) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, publish and compare a team's configuration"}
	o := r.clientOptions(cmd)
	cmd.AddCommand(o.checkCommand(), o.getCommand(), o.publishCommand(), o.diffCommand(),
		o.historyCommand(), o.rollbackCommand(), o.deleteCommand())
	return cmd
}

func (o *clientOptions) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check configuration files without an entry",
		RunE: func(_ *cobra.Command, args []string) error {
			var all []string
			for _, file := range args {
				body, err := os.ReadFile(file)
				if err != nil {
					return codes.Wrap(err, codes.ConfigInvalid, "cannot read the configuration")
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

func (o *clientOptions) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get TEAM", Short: "Print the team's configuration in force", Args: exactArgs(1, "team"),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(o, func(ctx context.Context, c *client.Client) (string, error) {
				body, _, err := c.Config(ctx, args[0])
				return string(body), err
			}, func(body string) { fmt.Fprint(o.stdout, body) })
		},
	}
}

// currentRevision returns the latest revision of a team's configuration, or 0 if there is
// none.
func currentRevision(ctx context.Context, c *client.Client, team string) (uint64, error) {
	changes, err := c.History(ctx, team)
	if codes.Of(err) == codes.UnknownTeam {
		return 0, nil
	}
	if err != nil || len(changes) == 0 {
		return 0, err
	}
	return changes[len(changes)-1].Revision, nil
}

func (o *clientOptions) printPublished(p view.Published) {
	fmt.Fprintf(o.stdout, "%s is at revision %d\n", p.Team, p.Revision)
	for _, w := range p.Warnings {
		fmt.Fprintln(o.stderr, "warning:", w)
	}
}

func (o *clientOptions) publishCommand() *cobra.Command {
	base := int64(-1)
	cmd := &cobra.Command{
		Use: "publish TEAM FILE", Short: "Publish a team's configuration", Args: exactArgs(2, "team and file"),
		Long: `Publish a team's configuration. It is refused if another revision was published
since the one named by --base, or since the one in force now if --base is not given.`,
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return codes.Wrap(err, codes.ConfigInvalid, "cannot read the configuration")
			}
			return call(o, func(ctx context.Context, c *client.Client) (view.Published, error) {
				expected := uint64(base)
				if base < 0 {
					var err error
					if expected, err = currentRevision(ctx, c, args[0]); err != nil {
						return view.Published{}, err
					}
				}
				return c.Publish(ctx, args[0], expected, o.author, body)
			}, o.printPublished)
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the file is based on; default: the one in force")
	return cmd
}

func (o *clientOptions) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff TEAM FILE", Short: "Compare a file with the configuration in force", Args: exactArgs(2, "team and file"),
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return codes.Wrap(err, codes.ConfigInvalid, "cannot read the configuration")
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
