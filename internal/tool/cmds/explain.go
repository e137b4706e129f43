package cmds

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/tool/story"
)

// explainCommand tells from logs what became of a request.
func (r *root) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID < LOG", Short: "Tell from the processes' logs what became of a job",
		Long: `explain reads the log lines of any number of processes from standard input, in any
order, and prints those that are about a job, what the processes came to believe
meanwhile, and what is missing. Lines marked * name the job.`,
		Example: `  cat entry-*.log agent-*.log | ebonyarch explain 5c0e7a21d94b36f8`,
		Args:    exactArgs(1, "the job's id"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return r.explain(cmd.InOrStdin(), model.ID(args[0]))
		},
	}
}

func (r *root) explain(in io.Reader, id model.ID) error {
	if !id.Valid() {
		return fmt.Errorf("%w: %q is not a job's id of 16 hexadecimal digits", errUsage, id)
	}
	lines, unread, err := story.Read(in)
	if err != nil {
		return fmt.Errorf("cannot read the log: %w", err)
	}
	if unread > 0 {
		fmt.Fprintf(r.stderr, "%d lines are not log lines and were passed over\n", unread)
	}
	return story.New(lines, id).Write(r.stdout)
}
