package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/holder"
)

// holderCollector reports whether this instance acts as the holder. All values of a scrape
// belong to the same moment.
type holderCollector struct {
	status                                  func() holder.Status
	acting, epoch, sendsOrders, unconfirmed *prometheus.Desc
}

func newHolderCollector(status func() holder.Status) *holderCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("peridotmoor_holder_"+name, help, nil, nil)
	}
	return &holderCollector{
		status:      status,
		acting:      describe("acting", "1 if this instance acts as the holder, with or without its lease."),
		epoch:       describe("epoch", "Epoch of the tenure. Only while this instance acts as the holder."),
		sendsOrders: describe("sends_orders", "1 if the holder sends orders to backend servers. Only while this instance acts as the holder."),
		unconfirmed: describe("lease_unconfirmed_seconds", "Time since the lease was last confirmed. Only while this instance acts as the holder."),
	}
}

// Describe implements prometheus.Collector.
func (c *holderCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.acting
	out <- c.epoch
	out <- c.sendsOrders
	out <- c.unconfirmed
}

// Collect implements prometheus.Collector.
func (c *holderCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	status := c.status()
	if !status.Acting {
		gauge(c.acting, 0)
		return
	}
	gauge(c.acting, 1)
	gauge(c.epoch, float64(status.Epoch))
	gauge(c.unconfirmed, status.LeaseUnconfirmed.Seconds())
	sends := 0.0
	if status.SendsOrders {
		sends = 1
	}
	gauge(c.sendsOrders, sends)
}
