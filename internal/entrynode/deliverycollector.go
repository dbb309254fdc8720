package entrynode

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/backhttp"
)

// deliveryCollector reports the requests that servers have answered with success before they had
// taken them.
type deliveryCollector struct {
	deliveries    *backhttp.Deliveries
	pending, cuts *prometheus.Desc
}

func newDeliveryCollector(deliveries *backhttp.Deliveries) *deliveryCollector {
	return &deliveryCollector{
		deliveries: deliveries,
		pending:    prometheus.NewDesc("peridotmoor_unfinished_requests", "Requests that are still delivered to a server that has answered them with success.", nil, nil),
		cuts:       prometheus.NewDesc("peridotmoor_requests_cut_total", "Requests that a server has got in part although their callers were told that they succeeded.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *deliveryCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.pending
	out <- c.cuts
}

// Collect implements prometheus.Collector.
func (c *deliveryCollector) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(c.pending, prometheus.GaugeValue, float64(c.deliveries.Count()))
	out <- prometheus.MustNewConstMetric(c.cuts, prometheus.CounterValue, float64(c.deliveries.Cuts()))
}
