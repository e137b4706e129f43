package cmds

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
	"github.com/ebonyarch/ebonyarch/internal/base/logs"
	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
	"github.com/ebonyarch/ebonyarch/internal/conf/proc"
	"github.com/ebonyarch/ebonyarch/internal/front/intake"
	"github.com/ebonyarch/ebonyarch/internal/node/admin"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/run/agent"
	"github.com/ebonyarch/ebonyarch/internal/run/entry"
	"github.com/ebonyarch/ebonyarch/internal/tool/demo"
	"github.com/ebonyarch/ebonyarch/platform"
)

const (
	// drainDelay is how long an entry that shuts down still accepts new requests. The
	// load balancer takes up to this long to notice that the entry is not ready.
	drainDelay = 2100 * time.Millisecond
	// shutdownTimeout limits the wait for requests in flight after drainDelay.
	shutdownTimeout = time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 20 * time.Second
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 16 << 10
)

func (r *root) placedCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "placed", Short: "Run an entry or agent on the users' platform, or try the system on stand-ins"}
	cmd.AddCommand(
		&cobra.Command{
			Use: "entry SETTINGS", Short: "Run an entry, which answers callers and may lead",
			Args: exactArgs(1, "the settings file"),
			RunE: func(cmd *cobra.Command, args []string) error { return r.runJobEntry(cmd.Context(), args[0]) },
		},
		&cobra.Command{
			Use: "agent SETTINGS", Short: "Run an agent beside a worker",
			Args: exactArgs(1, "the settings file"),
			RunE: func(cmd *cobra.Command, args []string) error { return r.runJobAgent(cmd.Context(), args[0]) },
		},
		&cobra.Command{
			Use: "try", Short: "Run the system on stand-ins for the platform, kill the leader, and check every task",
			Args: exactArgs(0, "none"),
			RunE: func(cmd *cobra.Command, _ []string) error {
				ctx, stop := signalContext(cmd.Context())
				defer stop()
				return demo.Try(ctx, r.stdout, logs.New(r.stderr, slog.LevelWarn))
			},
		})
	return cmd
}

// placedLogger returns the logger of a process on the users' platform, which writes to
// standard output, and a function that writes the queued lines and ends the logger.
func (r *root) placedLogger() (*slog.Logger, func(), error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(r.logLevel)); err != nil {
		return nil, nil, errors.Join(errUsage, err)
	}
	w := logs.NewWriter(os.Stdout)
	return logs.New(w, level), w.Close, nil
}

func (r *root) runJobEntry(ctx context.Context, file string) error {
	cfg, err := loadSettings(file, proc.ParseJobEntry)
	if err != nil {
		return err
	}
	log, flush, err := r.placedLogger()
	if err != nil {
		return err
	}
	defer flush()
	log = log.With("node", cfg.Name)
	limitMemory(cfg.Memory)
	warnOfDescriptors(&cfg.Limits, log)
	e := entry.New(cfg, platform.NewStore(cfg.Store, log), advisorAt(cfg.Advisor), log)
	peers, err := listen(cfg.Peers)
	if err != nil {
		return err
	}
	in := newIntakes(&cfg.Limits)
	callers, err := serveHTTP(cfg.Callers, platform.NewIngress(e, e.Config, log), in.callers, log)
	if err != nil {
		return err
	}
	if _, err := serveHTTP(cfg.Health, platform.NewReadinessHandler(e), in.health, log); err != nil {
		return err
	}
	if err := serveAdmin(cfg.Admin, e.AdminView(), in, e.Register, log); err != nil {
		return err
	}
	go func() {
		if err := e.Serve(in.peers.Listen(peers)); err != nil {
			log.Error("stopped listening for other processes", "err", err)
		}
	}()
	log.Info("entry starts", "version", Version, "callers", cfg.Callers.String(), "peers", cfg.Peers.String(), "store", cfg.Store.String())
	ctx, stop := signalContext(ctx)
	defer stop()
	go reloadOnSignal(ctx, log, func() error {
		next, err := loadSettings(file, proc.ParseJobEntry)
		if err == nil {
			e.AddSeeds(next.Seeds)
		}
		return err
	})
	go func() {
		<-ctx.Done()
		log.Info("entry stops", "leaveAfter", drainDelay)
		e.Shutdown()
		time.Sleep(drainDelay)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		go in.callers.Drain(shutdownCtx)
		if err := callers.Shutdown(shutdownCtx); err != nil {
			log.Warn("requests in flight were interrupted by the shutdown", "err", err)
		}
		e.Close()
	}()
	e.Run()
	log.Info("entry stopped")
	return nil
}

func (r *root) runJobAgent(ctx context.Context, file string) error {
	cfg, err := loadSettings(file, proc.ParseJobAgent)
	if err != nil {
		return err
	}
	log, flush, err := r.placedLogger()
	if err != nil {
		return err
	}
	defer flush()
	log = log.With("node", cfg.Name)
	limitMemory(cfg.Memory)
	a := agent.New(cfg, platform.NewWorker(cfg.Worker), platform.NewStore(cfg.Store, log), log)
	in := newIntakes(&cfg.Limits)
	if _, err := serveHTTP(cfg.Registry, platform.NewRegistry(a, log), in.callers, log); err != nil {
		return err
	}
	if err := serveAdmin(cfg.Admin, a, in, a.Register, log); err != nil {
		return err
	}
	log.Info("agent starts", "version", Version, "worker", cfg.Worker.String(), "registry", cfg.Registry.String())
	ctx, stop := signalContext(ctx)
	defer stop()
	go reloadOnSignal(ctx, log, func() error {
		next, err := loadSettings(file, proc.ParseJobAgent)
		if err == nil {
			a.AddSeeds(next.Seeds)
		}
		return err
	})
	go func() {
		<-ctx.Done()
		log.Info("agent stops")
		a.Close()
	}()
	a.Run()
	log.Info("agent stopped")
	return nil
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, codes.Wrap(err, codes.SettingsInvalid, "cannot listen")
}

// serveHTTP starts a server for a handler, whose clients in accounts for, and returns once it
// listens.
func serveHTTP(addr netip.AddrPort, h http.Handler, in *intake.Intake, log *slog.Logger) (*http.Server, error) {
	ln, err := listen(addr)
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler: in.Handler(h), ConnContext: in.ConnContext, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := s.Serve(in.Listen(ln)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("HTTP server failed", "addr", addr.String(), "err", err)
		}
	}()
	return s, nil
}

// loadSettings reads and checks the settings of a process.
func loadSettings[T any](file string, parse func(string, []byte) (T, jsonc.Faults)) (T, error) {
	data, err := readSettings(file)
	if err != nil {
		var zero T
		return zero, err
	}
	cfg, faults := parse(file, data)
	return cfg, settingsError(faults)
}

// serveAdmin starts the server for the administrative interface of a process.
func serveAdmin(addr netip.AddrPort, p admin.Process, in *intakes, register func(*prometheus.Registry), log *slog.Logger) error {
	registry := admin.NewRegistry()
	register(registry)
	in.register(registry)
	_, err := serveHTTP(addr, admin.Handler(p, registry), in.admin, log)
	return err
}

// settingsError returns the faults of settings as an error with a result code, or nil if
// there are none.
func settingsError(faults jsonc.Faults) error {
	if len(faults) == 0 {
		return nil
	}
	return codes.Wrap(faults.Err(), codes.SettingsInvalid, "settings have faults")
}

// reloadOnSignal reloads the settings at each SIGHUP until ctx is done. Settings with
// faults are logged and ignored.
func reloadOnSignal(ctx context.Context, log *slog.Logger, reload func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := reload(); err != nil {
			log.Error("settings not reloaded", "err", err)
			continue
		}
		log.Info("settings reloaded")
	}
}

// advisorAt returns a client of the advice service at addr, or nil if addr is not set.
func advisorAt(addr netip.AddrPort) port.Advisor {
	if !addr.IsValid() {
		return nil
	}
	return platform.NewAdvisor(addr)
}
