package entrynode

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// durationBuckets are the histogram buckets of request durations in seconds, placed
// around usual latency targets.
var durationBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3}

// orderDelayBuckets are the histogram buckets of the time until an order is written, in
// seconds. 0.4 is the timeout of a grant, 1.5 that of a release.
var orderDelayBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.5, 1, 1.5, 3, 6}

// factsAgeBuckets are the histogram buckets of the age of the facts by which requests are
// sent, in seconds. 2 is the time after which a leaving server must get no more requests.
var factsAgeBuckets = []float64{0.1, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2, 2.5, 4, 8, 16}

// domainsAgeBuckets are the histogram buckets of the age of the domains taken out by which requests
// are sent, in seconds. 5 is the time after which such a domain must get no more requests.
var domainsAgeBuckets = []float64{0.3, 0.6, 0.9, 1.2, 1.8, 2.5, 3.5, 4.5, 5, 8, 16}

// maxTeamLabels limits the teams with a label of their own. With the one for all others there
// are at most 100.
const maxTeamLabels = 99

// eventDelayBuckets are the histogram buckets of the wait for the holder's event loop, in
// seconds. After 0.12 an instance places a request without the holder.
var eventDelayBuckets = []float64{0.0003, 0.001, 0.003, 0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1}

// metrics holds the Prometheus metrics of the instance.
type metrics struct {
	registry     *prometheus.Registry
	callDuration *prometheus.HistogramVec
	orderDelay   prometheus.Histogram
	factsAge     prometheus.Histogram
	domainsAge   prometheus.Histogram
	sent         *prometheus.CounterVec
	teamCalls    *prometheus.CounterVec
	teams        boundedLabels
	unauthorized *prometheus.CounterVec
	capRefusals  *prometheus.CounterVec
	// cappedTeams holds the teams with refusals by their cap that have a label of their own.
	cappedTeams boundedLabels
	eventDelay  prometheus.Histogram
	hedges      hedgeCounter
}

// newMetrics registers the metrics. The functions are called at each scrape.
func newMetrics(countStoreCalls, storeEra, countEarlierAnswers, countConnections func() float64, holderStatus func() holder.Status, memory *membudget.Account) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		callDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "call_duration_seconds",
			Help:    "Time from the arrival of a call to its final answer, by service and outcome.",
			Buckets: durationBuckets,
		}, []string{"service", "outcome"}),
		orderDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "order_write_delay_seconds",
			Help:    "Time from the check that the holder may send orders to the end of the write of an order.",
			Buckets: orderDelayBuckets,
		}),
		factsAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "facts_age_at_send_seconds",
			Help:    "Time since the read of the store that the facts come from, by which a request is sent to a backend server.",
			Buckets: factsAgeBuckets,
		}),
		domainsAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "domains_out_age_at_send_seconds",
			Help:    "Time since the read of the store that the failure domains taken out come from, by which a request is sent to a backend server.",
			Buckets: domainsAgeBuckets,
		}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "requests_sent_total",
			Help: "Requests sent to backend servers, by what showed that the server was not leaving: facts, response, relayed-response, health-check or unchecked.",
		}, []string{"evidence"}),
		teamCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "team_calls_total",
			Help: "Calls by team and outcome. Teams above the first 99 are counted as other.",
		}, []string{"team", "outcome"}),
		teams: boundedLabels{limit: maxTeamLabels},
		unauthorized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "unauthorized_calls_total",
			Help: "Calls that were refused because of their key, by reason: missing, malformed or unknown.",
		}, []string{"reason"}),
		capRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "team_cap_refusals_total",
			Help: "Calls refused because the usage cap of their team is used up. Teams beyond the first 99 with refusals are counted as other.",
		}, []string{"team"}),
		cappedTeams: boundedLabels{limit: maxTeamLabels},
		eventDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "peridotmoor", Name: "holder_event_delay_seconds",
			Help:    "Time that an event waits for the event loop of the holder, measured 20 times a second.",
			Buckets: eventDelayBuckets,
		}),
		hedges: newHedgeCounter(),
	}
	m.registry.MustRegister(m.callDuration, m.orderDelay, m.factsAge, m.domainsAge, m.sent, m.eventDelay, m.teamCalls, m.unauthorized, m.capRefusals, m.hedges,
		newHolderCollector(holderStatus), newShortageCollector(holderStatus), newMemoryCollector(memory),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "store_calls_total", Help: "Calls to the platform's store.",
		}, countStoreCalls),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "peridotmoor", Name: "store_era", Help: "Highest era of the platform's store seen; it rises when the store comes back from a copy.",
		}, storeEra),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "peridotmoor", Name: "store_earlier_era_answers_total", Help: "Answers of the platform's store that were of an earlier era and therefore not used.",
		}, countEarlierAnswers),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "peridotmoor", Name: "caller_connections", Help: "Open connections of callers.",
		}, countConnections))
	return m
}

// CallEnded records the duration of a call by service and outcome.
func (m *metrics) CallEnded(service, outcome string, duration time.Duration) {
	m.callDuration.WithLabelValues(service, outcome).Observe(duration.Seconds())
}

// TeamCallEnded records a call of a team by outcome.
func (m *metrics) TeamCallEnded(team, outcome string) {
	m.teamCalls.WithLabelValues(m.teams.of(team), outcome).Inc()
}

// CallUnauthorized records a call that was refused because of its credential.
func (m *metrics) CallUnauthorized(reason string) {
	m.unauthorized.WithLabelValues(reason).Inc()
}

// FactsAge records how old the facts are by which a request is sent, and how old the reading of
// the domains that are taken out.
func (m *metrics) FactsAge(facts, domainsOut time.Duration) {
	m.factsAge.Observe(facts.Seconds())
	m.domainsAge.Observe(domainsOut.Seconds())
}

// Sent counts a request that was sent, by what showed that its server was not leaving.
func (m *metrics) Sent(evidence string) {
	m.sent.WithLabelValues(evidence).Inc()
}

// CapRefused records a call that the usage cap of a team has refused.
func (m *metrics) CapRefused(team string) {
	m.capRefusals.WithLabelValues(m.cappedTeams.of(team)).Inc()
}

// orderWritten records the time from the check of an order to the end of its write.
func (m *metrics) orderWritten(delay time.Duration) {
	m.orderDelay.Observe(delay.Seconds())
}

// eventDelayed records how long an event has waited for the event loop of the holder.
func (m *metrics) eventDelayed(delay time.Duration) {
	m.eventDelay.Observe(delay.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
