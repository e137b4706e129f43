package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonyarch/ebonyarch/internal/base/codes"
)

type metrics struct {
	requests *prometheus.HistogramVec
	rejected *prometheus.CounterVec
}

func newMetrics(r *prometheus.Registry, e *Entry) *metrics {
	m := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyarch_entry_request_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"team", "service", "kind", "code"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyarch_entry_rejected_total", Help: "Calls that were answered with a result code other than ok.",
		}, []string{"code"}),
	}
	r.MustRegister(m.requests, m.rejected,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyarch_entry_requests_in_flight", Help: "Callers' requests that are not answered.",
		}, func() float64 { return float64(e.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyarch_entry_job_memory_bytes", Help: "What the batch jobs that are kept take.",
		}, func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(e.core.Fold().JobMemory())
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "ebonyarch_entry_extra_tries_total", Help: "Retries and hedges of all services.",
		}, func() float64 { return float64(e.extraTries()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "ebonyarch_entry_log_appends_total", Help: "Appends to the platform's log, failed ones included.",
		}, func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(e.core.Writer().Stats().Appends)
		}))
	return m
}

// request observes the time and the result code of a finished request.
func (m *metrics) request(req *request, started time.Time, err error) {
	m.requests.WithLabelValues(req.msg.Team, req.msg.Service, req.msg.Kind, codes.Of(err).String()).
		Observe(time.Since(started).Seconds())
}

// extraTries returns the number of retries and hedges of all services that can be
// called now.
func (e *Entry) extraTries() uint64 {
	sum := uint64(0)
	for _, s := range e.routes.Load().services {
		s.serviceState.mu.Lock()
		stats := s.serviceState.flow.Stats()
		s.serviceState.mu.Unlock()
		sum += stats.Retries + stats.Hedges
	}
	return sum
}
