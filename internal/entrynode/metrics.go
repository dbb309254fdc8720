package entrynode

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// durationBuckets are the histogram buckets of request durations in seconds, placed
// around usual latency targets.
var durationBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3}

// metrics holds the Prometheus metrics of the instance.
type metrics struct {
	registry     *prometheus.Registry
	callDuration *prometheus.HistogramVec
}

// newMetrics registers the metrics. countStoreCalls and countConnections are called
// at each scrape.
func newMetrics(countStoreCalls, countConnections func() float64) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		callDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "call_duration_seconds",
			Help:    "Time from the arrival of a call to its final answer, by service and outcome.",
			Buckets: durationBuckets,
		}, []string{"service", "outcome"}),
	}
	m.registry.MustRegister(m.callDuration,
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "store_calls_total", Help: "Calls to the platform's store.",
		}, countStoreCalls),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "peridotmoor", Name: "caller_connections", Help: "Open connections of callers.",
		}, countConnections))
	return m
}

// CallEnded records the duration of a call by service and outcome.
func (m *metrics) CallEnded(service, outcome string, duration time.Duration) {
	m.callDuration.WithLabelValues(service, outcome).Observe(duration.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
