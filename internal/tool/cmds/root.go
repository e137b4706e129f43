// Package cmds implements the command-line interface.
package cmds

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the operation failed, or a check or trial.
	ExitFailed = 1
	// ExitUsage means that flags, arguments, settings or a configuration are invalid.
	ExitUsage = 2
	// ExitRefused means that the system refused the request.
	ExitRefused = 3
	// ExitUnreachable means that the process does not respond.
	ExitUnreachable = 4
)

// root holds the output streams and the flags that all subcommands share.
type root struct {
	stdout, stderr io.Writer
	logLevel       string
	logFormat      string
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	r := &root{stdout: stdout, stderr: stderr}
	cmd := r.command()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "ebonyarch:", err)
	return exitCode(err)
}

// errUsage is wrapped by errors about flags and arguments. They lead to ExitUsage.
var errUsage = errors.New("usage")

func exitCode(err error) int {
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	switch code := codes.Of(err); code {
	case codes.SettingsInvalid, codes.ConfigInvalid, codes.JobInvalid, codes.BadRequest:
		return ExitUsage
	case codes.Unreachable:
		return ExitUnreachable
	case codes.Internal:
		return ExitFailed
	default:
		return ExitRefused
	}
}

func (r *root) command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "ebonyarch",
		Short: "Schedules latency-critical services and batch work on shared VMs",
		Long: `ebonyarch schedules latency-critical services and batch work on shared VMs.

Entries serve callers and operators, an agent runs beside the upstream on each VM,
and persistent state is kept in the platform's append-only log. "ebonyarch try"
runs the whole system on this machine and needs no settings.

Exit codes: 0 done, 1 failed, 2 bad input, 3 refused, 4 unreachable.`,
		SilenceUsage: true, SilenceErrors: true, Version: Version,
	}
	cmd.PersistentFlags().StringVar(&r.logLevel, "log-level", "info", "lowest level of log lines: debug, info, warn or error")
	cmd.PersistentFlags().StringVar(&r.logFormat, "log-format", "text", "format of log lines: text or json")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Join(errUsage, err) })
	cmd.AddCommand(r.entryCommand(), r.agentCommand(), r.placedCommand(), r.standinCommand(), r.tryCommand(),
		r.configCommand(), r.jobCommand(), r.stateCommand(), r.matrixCommand(), r.explainCommand(), r.soakCommand(), r.versionCommand())
	return cmd
}

func (r *root) logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(r.logLevel)); err != nil {
		return nil, fmt.Errorf("%w: --log-level: want debug, info, warn or error, got %q", errUsage, r.logLevel)
	}
	options := &slog.HandlerOptions{Level: level}
	switch r.logFormat {
	case "text":
		return slog.New(slog.NewTextHandler(r.stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(r.stderr, options)), nil
	}
	return nil, fmt.Errorf("%w: --log-format: want text or json, got %q", errUsage, r.logFormat)
}

// exactArgs returns a check that a command has n arguments. names describes them for the
// error message.
func exactArgs(n int, names string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("%w: want %d arguments (%s), got %d", errUsage, n, names, len(args))
		}
		return nil
	}
}

// checkSeeds checks the number of seeds of a command that would check nothing without any.
func checkSeeds(n int) error {
	if n < 1 {
		return fmt.Errorf("%w: --seeds: want at least 1, got %d", errUsage, n)
	}
	return nil
}

func (r *root) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: exactArgs(0, "none"),
		Run: func(*cobra.Command, []string) { fmt.Fprintln(r.stdout, "ebonyarch", Version) },
	}
}
