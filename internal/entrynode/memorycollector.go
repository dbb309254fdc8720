package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// memoryCollector reports what the connections hold.
type memoryCollector struct {
	memory                            *membudget.Account
	held, limit, peak, ended, refused *prometheus.Desc
}

func newMemoryCollector(memory *membudget.Account) *memoryCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("peridotmoor_"+name, help, labels, nil)
	}
	return &memoryCollector{
		memory:  memory,
		held:    describe("connection_memory_held_bytes", "Memory that connections hold, by what it is held for.", "kind"),
		limit:   describe("connection_memory_limit_bytes", "Memory that all connections together may hold."),
		peak:    describe("connection_memory_peak_bytes", "Most memory that all connections together have held."),
		ended:   describe("connections_ended_for_memory_total", "Connections of callers that were ended because the memory was used up."),
		refused: describe("requests_refused_for_memory_total", "Requests that were refused because the memory was used up."),
	}
}

// Describe implements prometheus.Collector.
func (c *memoryCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.held, c.limit, c.peak, c.ended, c.refused} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *memoryCollector) Collect(out chan<- prometheus.Metric) {
	for _, k := range membudget.Kinds() {
		out <- prometheus.MustNewConstMetric(c.held, prometheus.GaugeValue, float64(c.memory.Held(k)), k.String())
	}
	out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(c.memory.Limits().Total))
	out <- prometheus.MustNewConstMetric(c.peak, prometheus.GaugeValue, float64(c.memory.Peak()))
	out <- prometheus.MustNewConstMetric(c.ended, prometheus.CounterValue, float64(c.memory.EndedConnections()))
	out <- prometheus.MustNewConstMetric(c.refused, prometheus.CounterValue, float64(c.memory.RefusedRequests()))
}
