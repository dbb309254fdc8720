package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/shard"
)

// shardCollector reads the state of held shards when it is scraped, so that the
// path of a request pays nothing for it.
type shardCollector struct {
	shards *shardSet

	held, ranges, waiting, imbalance *prometheus.Desc
	replaced, moved, putOff          *prometheus.Desc
	slots, queue, latency, load      *prometheus.Desc
	records                          *prometheus.Desc
}

func newShardCollector(shards *shardSet) *shardCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("peridotmoor_"+name, help, labels, nil)
	}
	return &shardCollector{
		shards:    shards,
		held:      desc("shard_held", "1 for each shard that this instance holds.", "shard"),
		ranges:    desc("shard_ranges", "Ranges of a held shard.", "shard"),
		waiting:   desc("shard_unserved_ranges", "Ranges of a held shard whose requests wait for an owner.", "shard"),
		imbalance: desc("shard_imbalance_ratio", "Largest over mean load of the servers that own ranges of a held shard.", "shard"),
		replaced:  desc("shard_owners_replaced_total", "Owners replaced after a loss, since the takeover.", "shard"),
		moved:     desc("shard_range_moves_total", "Ranges that changed their owner, since the takeover.", "shard"),
		putOff:    desc("shard_moves_put_off_total", "Moves put off for requests in flight, since the takeover.", "shard"),
		records:   desc("shard_request_records", "Request records of a held shard.", "shard"),
		slots:     desc("server_slots_in_use", "Slots of a backend server that requests use.", "shard", "server"),
		queue:     desc("server_queue_length", "Requests that wait for a slot of a backend server.", "shard", "server"),
		latency:   desc("server_latency_seconds", "Moving average of a backend server's latency.", "shard", "server"),
		load:      desc("server_load_requests_per_second", "Load of the ranges that a backend server owns.", "shard", "server"),
	}
}

// Describe implements prometheus.Collector.
func (c *shardCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c *shardCollector) Collect(out chan<- prometheus.Metric) {
	for _, u := range c.shards.units() {
		if u.holds() {
			c.collectShard(u, out)
		}
	}
}

func (c *shardCollector) collectShard(u *unit, out chan<- prometheus.Metric) {
	name := u.id.String()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, append([]string{name}, labels...)...)
	}
	gauge(c.held, 1)
	if serving := u.serving.Load(); serving != nil {
		gauge(c.records, float64(serving.records.Len()))
	}
	for _, t := range u.targets() {
		gauge(c.slots, float64(t.Limiter.Running()), t.Name)
		gauge(c.queue, float64(t.Limiter.Waiting()), t.Name)
		gauge(c.latency, t.Limiter.Latency().Seconds(), t.Name)
	}
	status := u.runtime.Status()
	if status == nil {
		return
	}
	counter := func(d *prometheus.Desc, value uint64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), name)
	}
	counter(c.replaced, status.OwnersReplaced)
	counter(c.moved, status.MovesCompleted)
	counter(c.putOff, status.MovesPostponed)
	gauge(c.ranges, float64(status.Ranges))
	gauge(c.waiting, float64(status.BlockedRanges))
	gauge(c.imbalance, imbalanceOf(status.Servers))
	for _, s := range status.Servers {
		gauge(c.load, s.RequestRate, s.Name)
	}
}

// imbalanceOf returns the largest over the mean load of the servers that own
// ranges, and 1 when there is no load.
func imbalanceOf(servers []shard.ServerStatus) float64 {
	largest, sum, owners := 0.0, 0.0, 0
	for _, s := range servers {
		if s.Ranges == 0 {
			continue
		}
		owners++
		sum += s.RequestRate
		largest = max(largest, s.RequestRate)
	}
	if sum == 0 {
		return 1
	}
	return largest * float64(owners) / sum
}
