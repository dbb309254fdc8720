package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// shortageCollector reports the refusals for want of capacity that this instance has decided
// as the holder.
type shortageCollector struct {
	status  func() holder.Status
	counts  []func(placing.Shortage) uint64
	counter []*prometheus.Desc
}

func newShortageCollector(status func() holder.Status) *shortageCollector {
	c := &shortageCollector{status: status}
	add := func(name, help string, count func(placing.Shortage) uint64) {
		c.counts = append(c.counts, count)
		c.counter = append(c.counter, prometheus.NewDesc("peridotmoor_holder_"+name, help+" Only while this instance acts as the holder.", []string{"service"}, nil))
	}
	add("refused_total", "Attempts refused for want of capacity in this tenure.", func(s placing.Shortage) uint64 { return s.Refused })
	add("overtaken_total", "Refused attempts that had been queued.", func(s placing.Shortage) uint64 { return s.Overtaken })
	add("return_places_total", "Places booked for the return of refused callers.", func(s placing.Shortage) uint64 { return s.Places })
	add("returned_total", "Attempts recognised as the return of a refused caller.", func(s placing.Shortage) uint64 { return s.Returned })
	add("return_places_taken_total", "Returns that came to their place.", func(s placing.Shortage) uint64 { return s.PlacesTaken })
	return c
}

// Describe implements prometheus.Collector.
func (c *shortageCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range c.counter {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *shortageCollector) Collect(out chan<- prometheus.Metric) {
	for service, shortage := range c.status().Shortages {
		for i, desc := range c.counter {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(c.counts[i](shortage)), service)
		}
	}
}
