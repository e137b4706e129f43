package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
)

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12}

// metrics are an entry's counters and histograms.
type metrics struct {
	asks    *prometheus.HistogramVec
	appends *prometheus.HistogramVec
	claims  *prometheus.CounterVec
	leading prometheus.Gauge
	// stats holds the leader's counts; they begin anew with each leadership.
	stats *prometheus.GaugeVec
}

func newMetrics() *metrics {
	return &metrics{
		asks: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_ask_seconds", Help: "Time from a caller's request to its answer.", Buckets: latencyBuckets,
		}, []string{"verb", "code"}),
		appends: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_store_append_seconds", Help: "Time until an append's fate was known, tries included.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyarch_claims_total", Help: "Claims of the leadership.",
		}, []string{"outcome"}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "ebonyarch_leading", Help: "1 while this entry leads.",
		}),
		stats: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyarch_leadership_count", Help: "What the present leadership has decided so far, by kind.",
		}, []string{"kind"}),
	}
}

// Register adds the entry's metrics to a registry.
func (e *Entry) Register(r *prometheus.Registry) {
	m := e.metrics
	r.MustRegister(m.asks, m.appends, m.claims, m.leading, m.stats)
}

func (m *metrics) asked(r *request, a *msgs.JobResponse) {
	m.asks.WithLabelValues(r.ask.Verb.String(), a.Code.String()).Observe(time.Since(r.at).Seconds())
}

// outcomeOf names the outcome of a call.
func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// count shows the counts of a leadership, zero while there is none.
func (m *metrics) count(s lead.Stats) {
	for kind, n := range map[string]uint64{
		"accepted": s.Accepted, "refused": s.Refused, "cancelled": s.Cancelled, "started": s.Started,
		"preempted": s.Preempted, "moved": s.Moved, "copied": s.Copied, "done": s.Done, "failed": s.Failed, "lost": s.Lost,
		"otherEnds": s.OtherEnds, "batches": s.Batches, "records": s.Records, "bytesWritten": s.BytesWritten,
	} {
		m.stats.WithLabelValues(kind).Set(float64(n))
	}
}
