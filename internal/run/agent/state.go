package agent

import (
	"errors"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/jobs/exec"
)

// State is the state of an agent as the admin endpoint returns it.
type State struct {
	Name string `json:"name"`
	// Leader is the address of the connected leader, empty if none is connected.
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
		return errors.New("the agent is not connected to a leader")
	}
	return nil
}

// metrics holds an agent's metrics.
type metrics struct {
	calls *prometheus.HistogramVec
}

// callBuckets are the upper bounds of the histogram of worker calls, in seconds.
var callBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 0.5, 1}

func newMetrics() *metrics {
	return &metrics{calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "ebonyarch_worker_call_seconds", Help: "Duration of calls to the worker.", Buckets: callBuckets,
	}, []string{"call", "outcome"})}
}

// Register adds the agent's metrics to a registry.
func (a *Agent) Register(r *prometheus.Registry) {
	r.MustRegister(a.metrics.calls, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonyarch_runs", Help: "Runs that are ordered or present at the worker.",
	}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.State().Runs)
	}))
}

// observeCall records the duration and outcome of a call to the worker.
func (m *metrics) observeCall(call string, startedAt time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(call, outcome).Observe(time.Since(startedAt).Seconds())
}
