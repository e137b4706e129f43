package agent

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	served  prometheus.Histogram
	refused *prometheus.CounterVec
}

func newMetrics(r *prometheus.Registry, a *Agent) *metrics {
	m := &metrics{
		served: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ebonyarch_agent_request_seconds", Help: "Time that the upstream took for a request.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyarch_agent_refused_total", Help: "Requests that the agent refused, by result code.",
		}, []string{"code"}),
	}
	r.MustRegister(m.served, m.refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyarch_agent_requests_in_flight", Help: "Requests that were accepted and not answered.",
		}, func() float64 { return float64(a.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyarch_agent_connections", Help: "Open connections from entries.",
		}, func() float64 { return float64(a.peers.OpenConnections()) }))
	return m
}
