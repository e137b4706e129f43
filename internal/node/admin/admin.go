// Package admin serves the administrative address of a process: its state, its
// metrics and whether it is ready.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Process is what admin shows of a process.
type Process interface {
	// State returns a value to be shown as JSON.
	State() any
	// Ready returns an error that says why the process cannot serve yet.
	Ready() error
}

// Handler serves the state, metrics and health of p.
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

// NewRegistry returns a registry with the metrics of the Go runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // the caller is gone
}
