package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// durationBuckets are the histogram buckets of request durations in seconds. 0.018 is the
// target for the 99th percentile.
var durationBuckets = []float64{0.001, 0.002, 0.004, 0.006, 0.009, 0.012, 0.018, 0.027, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10}

// Requests counts the requests of callers by outcome.
type Requests struct {
	ended          *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	forwardRetries *prometheus.CounterVec
}

func newRequests(r prometheus.Registerer) *Requests {
	m := &Requests{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests of callers by service, outcome and kind of refusal (empty when answered).",
		}, []string{"service", "outcome", "kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds",
			Help:    "Time from the arrival of a request at the entry to the end of its answer or refusal.",
			Buckets: durationBuckets,
		}, []string{"service", "outcome"}),
		forwardRetries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "forward_retries_total",
			Help: "Requests sent to a holder again, by the kind of the problem before.",
		}, []string{"kind"}),
	}
	r.MustRegister(m.ended, m.duration, m.forwardRetries)
	return m
}

// Ended records one request that ended at the entry instance. p is nil if the request
// was answered completely. service must be a name from the settings tree, so that
// callers cannot create new time series.
func (m *Requests) Ended(service string, o outcome.Outcome, p *problem.Problem, took time.Duration) {
	kind := ""
	if p != nil {
		kind = string(p.Kind)
	}
	m.ended.WithLabelValues(service, string(o), kind).Inc()
	m.duration.WithLabelValues(service, string(o)).Observe(took.Seconds())
}

// ForwardRetried counts one request that is forwarded to a holder again after a problem
// of the given kind.
func (m *Requests) ForwardRetried(kind problem.Kind) {
	m.forwardRetries.WithLabelValues(string(kind)).Inc()
}
