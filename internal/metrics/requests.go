package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// durationBuckets bound request durations in seconds; 0.018 is the target for 99 in 100.
var durationBuckets = []float64{0.001, 0.002, 0.004, 0.006, 0.009, 0.012, 0.018, 0.027, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10}

// Requests counts what callers were told.
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

// Ended counts one request that ended at the entry. p is nil for a whole answer.
// service must come from the settings tree, so that callers cannot make new series.
func (m *Requests) Ended(service string, o outcome.Outcome, p *problem.Problem, took time.Duration) {
	kind := ""
	if p != nil {
		kind = string(p.Kind)
	}
	m.ended.WithLabelValues(service, string(o), kind).Inc()
	m.duration.WithLabelValues(service, string(o)).Observe(took.Seconds())
}

// ForwardRetried counts one request that goes to a holder again.
func (m *Requests) ForwardRetried(kind problem.Kind) {
	m.forwardRetries.WithLabelValues(string(kind)).Inc()
}
