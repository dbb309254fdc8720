package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/link"
)

// fleetCollector reports what serving the fleet costs this instance as the holder.
type fleetCollector struct {
	load                                    func() holder.Load
	joins                                   func() uint64
	traffic                                 *link.Traffic
	sent, joined                            *prometheus.Desc
	followers, transferring, queued, probes *prometheus.Desc
}

func newFleetCollector(load func() holder.Load, joins func() uint64, traffic *link.Traffic) *fleetCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("peridotmoor_holder_"+name, help, labels, nil)
	}
	return &fleetCollector{
		load: load, joins: joins, traffic: traffic,
		sent:         describe("sent_bytes_total", "Encoded bytes sent to followers, by kind of content.", "kind"),
		joined:       describe("joins_total", "Instances that have joined this one as the holder."),
		followers:    describe("followers", "Instances that follow this one as the holder."),
		transferring: describe("listing_transfers", "Followers that get a listing in parts."),
		queued:       describe("queued_events", "Events that wait for the event loop of the holder."),
		probes:       describe("probes", "Health checks of the holder under way."),
	}
}

// Describe implements prometheus.Collector.
func (c *fleetCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.sent, c.joined, c.followers, c.transferring, c.queued, c.probes} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *fleetCollector) Collect(out chan<- prometheus.Metric) {
	for _, k := range link.Kinds() {
		out <- prometheus.MustNewConstMetric(c.sent, prometheus.CounterValue, float64(c.traffic.Bytes(k)), k.String())
	}
	out <- prometheus.MustNewConstMetric(c.joined, prometheus.CounterValue, float64(c.joins()))
	load := c.load()
	gauge := func(desc *prometheus.Desc, value int) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
	}
	gauge(c.followers, load.Followers)
	gauge(c.transferring, load.Transferring)
	gauge(c.queued, load.QueuedEvents)
	gauge(c.probes, load.Probes)
}
