package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/conf/teams"
	"github.com/ebonyarch/ebonyarch/internal/fake/plog"
	"github.com/ebonyarch/ebonyarch/internal/fake/worker"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/agent"
	"github.com/ebonyarch/ebonyarch/internal/node/entry"
	"github.com/ebonyarch/ebonyarch/internal/node/link"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// shutdowner is a process with a graceful shutdown.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

func (r *root) entryCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use: "entry SETTINGS", Short: "Run an entry, which serves callers and operators",
		Args: exactArgs(1, "the settings file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readSettings(args[0])
			if err != nil {
				return err
			}
			cfg, faults := proc.ParseEntry(args[0], data)
			if len(faults) > 0 || check {
				return codes.Wrap(faults.Err(), codes.SettingsInvalid, "settings have faults")
			}
			log, err := r.logger()
			if err != nil {
				return err
			}
			e, err := entry.Start(cfg, plog.NewClient(cfg.Log, &http.Client{}), log.With("entry", cfg.Name))
			if err != nil {
				return err
			}
			log.Info("entry runs", "callers", e.Addr(), "peers", e.PeerAddr(), "admin", e.AdminAddr())
			return drainOnSignal(cmd.Context(), e, cfg.DrainTimeout.Duration)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and stop")
	return cmd
}

func (r *root) agentCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use: "agent SETTINGS", Short: "Run an agent beside an upstream",
		Args: exactArgs(1, "the settings file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readSettings(args[0])
			if err != nil {
				return err
			}
			cfg, faults := proc.ParseAgent(args[0], data)
			if len(faults) > 0 || check {
				return codes.Wrap(faults.Err(), codes.SettingsInvalid, "settings have faults")
			}
			log, err := r.logger()
			if err != nil {
				return err
			}
			a, err := agent.Start(cfg, worker.NewClient(cfg.Worker, &http.Client{}), log.With("vm", cfg.VM))
			if err != nil {
				return err
			}
			log.Info("agent runs", "peers", a.Addr(), "admin", a.AdminAddr())
			return drainOnSignal(cmd.Context(), a, cfg.DrainTimeout.Duration)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and stop")
	return cmd
}

func readSettings(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	return data, codes.Wrap(err, codes.SettingsInvalid, "cannot read the settings")
}

// drainOnSignal waits for SIGINT or SIGTERM and shuts p down gracefully.
func drainOnSignal(ctx context.Context, p shutdowner, timeout time.Duration) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Shutdown(drainCtx)
}

// signalContext returns a context that ends when the process receives SIGINT or SIGTERM.
// A nil ctx stands for context.Background.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

func (r *root) standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for a part of the platform, for trials and tests"}
	var logListen, workerListen string
	var retain int
	logCmd := &cobra.Command{
		Use: "log", Short: "Run a stand-in for the platform's log", Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l := &plog.Log{}
			l.Set(plog.Faults{Retain: retain})
			return r.serveStandin(cmd.Context(), logListen, plog.Handler(l))
		},
	}
	logCmd.Flags().StringVar(&logListen, "listen", "127.0.0.1:9000", "address to listen on")
	logCmd.Flags().IntVar(&retain, "retain", 0, "number of log entries to keep, 0 for all")
	var vm string
	var cpu float64
	var memoryMB, accelerators uint32
	var serviceTime, usageLag time.Duration
	workerCmd := &cobra.Command{
		Use: "worker", Short: "Run a stand-in for the executor on one VM", Args: exactArgs(0, "none"),
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := worker.New(worker.Config{
				VM: vm, ServiceTime: serviceTime, UsageLag: usageLag, Witness: &worker.Witness{},
				Capacity: &schema.Size{CpuMilli: teams.CPU(cpu).Milli(), MemoryMb: memoryMB, Accelerators: accelerators},
			})
			return r.serveStandin(cmd.Context(), workerListen, worker.Handler(w))
		},
	}
	workerCmd.Flags().StringVar(&workerListen, "listen", "127.0.0.1:9100", "address to listen on")
	workerCmd.Flags().StringVar(&vm, "vm", "vm-1", "name of the VM")
	workerCmd.Flags().Float64Var(&cpu, "cpu", 16, "processors")
	workerCmd.Flags().Uint32Var(&memoryMB, "memory-mb", 60<<10, "memory in megabytes")
	workerCmd.Flags().Uint32Var(&accelerators, "accelerators", 0, "accelerators")
	workerCmd.Flags().DurationVar(&serviceTime, "service-time", 2*time.Millisecond, "processing time of a request")
	workerCmd.Flags().DurationVar(&usageLag, "usage-lag", 2*time.Second, "age of the reported resource usage")
	cmd.AddCommand(logCmd, workerCmd)
	return cmd
}

// serveStandin serves handler at the address listen until SIGINT or SIGTERM.
func (r *root) serveStandin(ctx context.Context, listen string, handler http.Handler) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("%w: --listen: %v", errUsage, err)
	}
	s, err := link.Listen(addr, handler, &intake.Intake{})
	if err != nil {
		return err
	}
	fmt.Fprintln(r.stderr, "stand-in listens on", s.Addr())
	ctx, stop := signalContext(ctx)
	defer stop()
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	return s.Serve()
}
