package intake

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// cause is why a client was turned away.
type cause int

const (
	// connectionRefused counts new connections that found only connections with requests that are
	// carried out, connectionDropped those that were closed for new ones.
	connectionRefused cause = iota
	connectionDropped
	// requestRefused and requestDropped are the same for requests.
	requestRefused
	requestDropped
	// bodyDropped counts incomplete requests that were given up for the memory of others.
	bodyDropped
	// bodyTimedOut counts bodies that did not arrive in time.
	bodyTimedOut
	// bodyTooLarge counts requests that took more memory than one may.
	bodyTooLarge
	// memoryTimedOut counts requests that waited for memory until their deadline.
	memoryTimedOut
	// drained counts connections and requests that stalled during a shutdown.
	drained
	causeCount
)

// causeNames holds the values of the metric's label.
var causeNames = [causeCount]string{
	"connectionRefused", "connectionDropped", "requestRefused", "requestDropped", "bodyDropped", "bodyTimedOut", "bodyTooLarge",
	"memoryTimedOut", "drained",
}

// counts holds how many clients were turned away, by cause.
type counts [causeCount]atomic.Uint64

func (c *counts) add(why cause) { c[why].Add(1) }

// Register adds the metrics of an Intake to a registry. server is the value of their label.
func (in *Intake) Register(r prometheus.Registerer, server string) {
	for why, name := range causeNames {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "ebonyarch_intake_dropped_total", Help: "Clients' connections and requests that were turned away, by cause.",
			ConstLabels: prometheus.Labels{"server": server, "cause": name},
		}, func() float64 { return float64(in.counts[why].Load()) }))
	}
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"server": server},
		}, func() float64 {
			in.mu.Lock()
			defer in.mu.Unlock()
			return value()
		}))
	}
	gauge("ebonyarch_intake_connections", "Open connections of clients.", func() float64 { return float64(in.open) })
	gauge("ebonyarch_intake_requests", "Requests without a complete response.", func() float64 { return float64(in.requests) })
	gauge("ebonyarch_intake_memory_bytes", "Memory that counts for the bodies of requests.", func() float64 { return float64(in.used) })
}
