// Package metrics holds the Prometheus metrics of an instance. Names and units
// follow the Prometheus conventions: base units, _total for counters.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of all metric names.
const namespace = "peridotmoor"

// Registry holds the metrics of one process.
type Registry struct {
	prometheus *prometheus.Registry
	Requests   *Requests
	Control    *ControlTraffic
	Store      *StoreCalls
}

// NewRegistry returns a registry with the metrics of the process and the Go runtime.
func NewRegistry() *Registry {
	r := &Registry{prometheus: prometheus.NewRegistry()}
	r.Requests = newRequests(r.prometheus)
	r.Control = newControl(r.prometheus)
	r.Store = newStoreCalls(r.prometheus)
	r.prometheus.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// Register adds a collector that reads its values at each scrape. It panics if the name
// of a metric is already registered.
func (r *Registry) Register(c prometheus.Collector) {
	r.prometheus.MustRegister(c)
}

// Handler returns the HTTP handler that serves the metrics.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.prometheus, promhttp.HandlerOpts{})
}
