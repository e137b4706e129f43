// Package admin serves the administrative HTTP endpoints of a process: its state,
// its metrics, its health and whether it is ready.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Process is a process as the administrative endpoints show it.
type Process interface {
	// State returns the value that is shown as JSON.
	State() any
	// Ready returns nil if the process can serve, or else an error that says why it
	// cannot.
	Ready() error
}

// Handler returns a handler that serves the state, metrics, health and readiness of
// p.
func Handler(p Process, registry *prometheus.Registry) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, p.State())
	}).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, struct {
			Status string `json:"status"`
		}{"ok"})
	})
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		WriteJSON(w, http.StatusOK, struct {
			Status string `json:"status"`
		}{"ready"})
	})
	return r
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// operating system process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// WriteJSON answers a request with the status and with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // an error means that the caller has disconnected
}
