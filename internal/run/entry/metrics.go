package entry

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/jobs/lead"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/jobs/relay"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12}

// metrics holds an entry's metrics.
type metrics struct {
	requests *prometheus.HistogramVec
	appends  *prometheus.HistogramVec
	claims   *prometheus.CounterVec
	leading  prometheus.Gauge
	// stats holds the counts of lead.Stats, which start at zero with each leadership.
	stats *prometheus.GaugeVec
	// steps holds the durations of the event loop's steps, longestStep the longest of each kind since
	// the process began.
	steps       *prometheus.HistogramVec
	longestStep *prometheus.GaugeVec
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_ask_seconds", Help: "Time from a caller's request to its response.", Buckets: latencyBuckets,
		}, []string{"verb", "code"}),
		appends: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_store_append_seconds", Help: "Time until the outcome of an append to the store was known, retries included.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyarch_claims_total", Help: "Claims of the leadership.",
		}, []string{"outcome"}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "ebonyarch_leading", Help: "1 while this entry leads.",
		}),
		stats: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyarch_leadership_count", Help: "Decisions and writes of the current leadership, by kind.",
		}, []string{"kind"}),
		steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_step_seconds", Help: "Duration of the steps of the event loop, for which all else waits.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		longestStep: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyarch_longest_step_seconds", Help: "Longest step of the event loop since the process began.",
		}, []string{"kind"}),
	}
}

// Register adds the entry's metrics to a registry.
func (e *Entry) Register(r *prometheus.Registry) {
	m := e.metrics
	r.MustRegister(m.requests, m.appends, m.claims, m.leading, m.stats, m.steps, m.longestStep)
}

// observeRequest records the latency of a request and the code of its response.
func (m *metrics) observeRequest(r *relay.Request, resp *msgs.JobResponse) {
	m.requests.WithLabelValues(r.Message.Verb.String(), resp.Code.String()).Observe(time.Since(r.ReceivedAt).Seconds())
}

// outcomeOf returns the value of the outcome label for a call's error.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, port.ErrStoreRejected):
		return "rejected"
	}
	return "failed"
}

// setStats sets the gauges to the counts of a leadership.
func (m *metrics) setStats(s lead.Stats) {
	for kind, n := range map[string]uint64{
		"accepted": s.Accepted, "refused": s.Refused, "cancelled": s.Cancelled, "started": s.Started,
		"preempted": s.Preempted, "moved": s.Moved, "copied": s.Copied, "done": s.Done, "failed": s.Failed, "lost": s.Lost,
		"lostRefused": s.LostRefused, "lostWithVM": s.LostWithVM,
		"otherEnds": s.OtherEnds, "batches": s.Batches, "records": s.Records, "bytesWritten": s.BytesWritten,
		"rejected": s.Rejected, "unstorable": s.Unstorable, "crashes": s.Crashes, "givenUp": s.GivenUp,
		"refusedFull": s.RefusedFull, "cutPasses": s.CutPasses, "stagesLeft": s.StagesLeft, "surplusJobs": s.SurplusJobs, "jobMemory": s.JobMemory,
	} {
		m.stats.WithLabelValues(kind).Set(float64(n))
	}
}
