package agent

import (
	"errors"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
)

// State is what an agent shows of itself.
type State struct {
	Name string `json:"name"`
	// Leader is where the agent is connected, empty if it is not.
	Leader  string           `json:"leader"`
	Entries []netip.AddrPort `json:"entries"`
	Core    exec.State       `json:"core"`
}

// State implements admin.Process.
func (a *Agent) State() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{Name: a.cfg.Name, Entries: a.entries, Core: a.core.State()}
	if a.conn != nil {
		s.Leader = a.conn.Remote()
	}
	return s
}

// Ready implements admin.Process.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return errors.New("the agent hears no leader")
	}
	return nil
}

// metrics are an agent's counters and histograms.
type metrics struct {
	calls *prometheus.HistogramVec
}

// callBuckets are the upper bounds of the histogram of calls, in seconds.
var callBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 0.5, 1}

func newMetrics() *metrics {
	return &metrics{calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "ebonyarch_worker_call_seconds", Help: "Time of calls to the worker.", Buckets: callBuckets,
	}, []string{"call", "outcome"})}
}

// Register adds the agent's metrics to a registry.
func (a *Agent) Register(r *prometheus.Registry) {
	r.MustRegister(a.metrics.calls, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonyarch_runs", Help: "Runs that were ordered or are present.",
	}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.State().Runs)
	}))
}

func (m *metrics) observeCall(call string, startedAt time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(call, outcome).Observe(time.Since(startedAt).Seconds())
}
