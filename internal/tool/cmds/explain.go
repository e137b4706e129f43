package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/tool/story"
)

// explainCommand returns the command that shows from logs what happened to a job.
func (r *root) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID < LOG", Short: "Show from the processes' logs what happened to a job",
		Long: `explain reads the log lines of any number of processes from standard input, in any
order, and prints those that name a job, marked with *. It adds lines from the same
period about the leader, the configuration, the processes and the job's VMs, and
says which lines are missing. ID is the id of the request that submitted the job,
which the logs show as the attribute req.`,
		Example: `  cat entry-*.log agent-*.log | ebonyarch explain 5c0e7a21d94b36f8`,
		Args:    exactArgs(1, "the job's id"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.explain(cmd.InOrStdin(), model.ID(args[0]))
		},
	}
}

func (r *root) explain(in io.Reader, id model.ID) error {
	if !id.Valid() {
		return fmt.Errorf("%w: %q is not a request id of 16 hexadecimal digits", errUsage, id)
	}
	lines, skipped, err := story.Read(in)
	if err != nil {
		return fmt.Errorf("cannot read the log: %w", err)
	}
	if skipped > 0 {
		fmt.Fprintf(r.stderr, "skipped %d lines that are not log lines\n", skipped)
	}
	return story.New(lines, id).Write(r.stdout)
}
