package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/shard"
)

// shardCollector reads the state of the held shards at each scrape, which costs nothing
// on the path of a request.
type shardCollector struct {
	shards *shardSet

	held, ranges, blocked, imbalance *prometheus.Desc
	replaced, moved, postponed       *prometheus.Desc
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
		blocked:   desc("shard_unserved_ranges", "Ranges of a held shard whose requests wait for an owner.", "shard"),
		imbalance: desc("shard_imbalance_ratio", "Largest over mean load of the servers that own ranges of a held shard.", "shard"),
		replaced:  desc("shard_owners_replaced_total", "Owners replaced after a loss, since the takeover.", "shard"),
		moved:     desc("shard_range_moves_total", "Ranges that changed their owner, since the takeover.", "shard"),
		postponed: desc("shard_moves_put_off_total", "Moves put off for requests in flight, since the takeover.", "shard"),
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
	for _, l := range c.shards.all() {
		if l.holds() {
			c.collectShard(l, out)
		}
	}
}

func (c *shardCollector) collectShard(l *localShard, out chan<- prometheus.Metric) {
	name := l.id.String()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, append([]string{name}, labels...)...)
	}
	gauge(c.held, 1)
	if serving := l.serving.Load(); serving != nil {
		gauge(c.records, float64(serving.records.Len()))
	}
	for _, t := range l.targets() {
		gauge(c.slots, float64(t.Limiter.Running()), t.Name)
		gauge(c.queue, float64(t.Limiter.Waiting()), t.Name)
		gauge(c.latency, t.Limiter.Latency().Seconds(), t.Name)
	}
	status := l.runtime.Status()
	if status == nil {
		return
	}
	counter := func(d *prometheus.Desc, value uint64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), name)
	}
	counter(c.replaced, status.OwnersReplaced)
	counter(c.moved, status.MovesCompleted)
	counter(c.postponed, status.MovesPostponed)
	gauge(c.ranges, float64(status.Ranges))
	gauge(c.blocked, float64(status.BlockedRanges))
	gauge(c.imbalance, imbalanceOf(status.Servers))
	for _, s := range status.Servers {
		gauge(c.load, s.RequestRate, s.Name)
	}
}

// imbalanceOf returns the ratio of the largest to the mean load of the servers that own
// ranges, or 1 without load.
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
