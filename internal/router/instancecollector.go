package router

import "github.com/prometheus/client_golang/prometheus"

// instanceCollector reads the state of the instance at each scrape.
type instanceCollector struct {
	instance *Instance

	settings, ready, inFlight, dropped, members, retries *prometheus.Desc
}

func newInstanceCollector(i *Instance) *instanceCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("peridotmoor_"+name, help, labels, nil)
	}
	return &instanceCollector{
		instance: i,
		settings: desc("settings_version", "Version of the settings in effect, 0 without one."),
		ready:    desc("ready", "1 while the balancer may send requests to the instance."),
		inFlight: desc("requests_in_flight", "Requests of callers in flight through the instance."),
		dropped:  desc("events_dropped", "Event lines dropped and not yet reported."),
		members:  desc("instances", "Known instances by state.", "state"),
		retries:  desc("retries_and_hedges_total", "Retries and hedges spent from the budget of a service.", "service"),
	}
}

// Describe implements prometheus.Collector.
func (c *instanceCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c *instanceCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	i := c.instance
	if installed := i.components.publisher.Settings(); installed != nil {
		gauge(c.settings, float64(installed.Version.Number))
	} else {
		gauge(c.settings, 0)
	}
	ready := 0.0
	if i.readiness.err() == nil {
		ready = 1
	}
	gauge(c.ready, ready)
	gauge(c.inFlight, float64(i.forwarder.InFlight()))
	gauge(c.dropped, float64(i.components.log.Dropped()))
	states := map[string]int{}
	for _, e := range i.components.members.View().Entries {
		states[e.State.String()]++
	}
	for state, count := range states {
		gauge(c.members, float64(count), state)
	}
	for service, spent := range i.shards.retriesAndHedges() {
		out <- prometheus.MustNewConstMetric(c.retries, prometheus.CounterValue, float64(spent), service)
	}
}
