package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// result is what one run measured.
type result struct {
	options       Options
	before, after snapshot
	load          phase
	listed        []servers.ServerInfo
	records       []recordCount
	// change is how long a new version of the settings took to be in effect in every router.
	change time.Duration
}

// seconds is the length of the measured stretch.
func (r result) seconds() float64 {
	return r.after.at.Sub(r.before.at).Seconds()
}

// line returns all figures as name=value. Lists have one value for each router.
func (r result) line() string {
	o := r.options
	var parts []string
	add := func(name, format string, values ...any) {
		parts = append(parts, name+"="+fmt.Sprintf(format, values...))
	}
	add("routers", "%d", len(r.before.routers))
	add("shards", "%d", o.Services*o.Shards)
	add("servers", "%d", o.Servers)
	add("keyed", "%t", o.Keyed)
	add("procs", "%d", o.Procs)
	add("rate", "%d", o.Rate)
	r.addLoad(add)
	add("seconds", "%.1f", r.seconds())
	if !o.Direct {
		r.addRouters(add)
		add("platform_cpu_pct", "%.1f", 100*(r.after.platform.cpu-r.before.platform.cpu)/r.seconds())
	}
	add("servers_cpu_pct", "%.0f", 100*(r.after.servers.cpu-r.before.servers.cpu)/r.seconds())
	add("bench_cpu_pct", "%.0f", 100*(r.after.bench.cpu-r.before.bench.cpu)/r.seconds())
	add("machine_idle_pct", "%.0f", 100*r.after.machine.idleSince(r.before.machine))
	return strings.Join(parts, " ")
}

// addLoad adds the requests reached and the latencies in ms (p50/p99/p99.9).
func (r result) addLoad(add func(string, string, ...any)) {
	reads, sentReads := r.load.reads.count()
	orders, sentOrders := r.load.orders.count()
	add("reached", "%.0f", float64(reads+orders)/r.options.Duration.Seconds())
	if sentReads > 0 {
		add("reads_ms", "%s", r.load.reads.quantiles())
		add("reads", "%s", outcomesOf(r.load.reads))
	}
	if sentOrders > 0 {
		add("orders_ms", "%s", r.load.orders.quantiles())
		add("orders", "%s", outcomesOf(r.load.orders))
	}
}

func outcomesOf(l *latencies) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.outcomes)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, l.outcomes[name]))
	}
	return strings.Join(parts, ",")
}

func (r result) addRouters(add func(string, string, ...any)) {
	cpu := r.perRouter(func(n int) float64 { return r.after.routers[n].cpu - r.before.routers[n].cpu })
	add("cpu_s", "%s", listOf(cpu, "%.2f"))
	add("cpu_pct_mean", "%.2f", 100*mean(cpu)/r.seconds())
	reads, _ := r.load.reads.count()
	orders, _ := r.load.orders.count()
	if reads+orders > 0 {
		add("cpu_us_per_request", "%.0f", 1e6*mean(cpu)*float64(len(cpu))/float64(reads+orders))
	}
	add("rss_mb", "%s", listOf(r.perRouter(func(n int) float64 { return r.after.routers[n].resident / (1 << 20) }), "%.0f"))
	add("transferred_bytes_s", "%s", listOf(r.perRouter(func(n int) float64 {
		return (r.after.routers[n].transferred - r.before.routers[n].transferred) / r.seconds()
	}), "%.0f"))
	add("control_bytes_s", "%s", listOf(r.rates(metricBytes), "%.0f"))
	add("control_bytes_s_mean", "%.0f", mean(r.rates(metricBytes)))
	add("control_messages_s", "%s", listOf(r.rates(metricMessages), "%.0f"))
	add("store_calls_s", "%s", listOf(r.rates(metricStore), "%.1f"))
	add("record_lines", "%s", listOf(r.perRouter(func(n int) float64 { return float64(r.records[n].written) }), "%.0f"))
	add("records_dropped", "%s", listOf(r.perRouter(func(n int) float64 { return float64(r.records[n].dropped) }), "%.0f"))
	add("bytes_by_message", "%s", r.byDetail(metricBytes, "%.0f"))
	add("settings_bytes", "%d", len(settingsTree(r.options, addressesOf(r.listed), 0)))
	add("settings_s", "%.2f", r.change.Seconds())
	add("store_calls_by_call", "%s", r.byDetail(metricStore, "%.2f"))
	add("messages_by_message", "%s", r.byDetail(metricMessages, "%.0f"))
}

// byDetail returns the mean rate per router of each message or store call.
func (r result) byDetail(metric, format string) string {
	names := map[string]bool{}
	for _, counted := range r.after.counters {
		for name := range counted {
			if message, found := strings.CutPrefix(name, metric+"/"); found {
				names[message] = true
			}
		}
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		parts = append(parts, fmt.Sprintf("%s:"+format, name, mean(r.rates(metric+"/"+name))))
	}
	return strings.Join(parts, ",")
}

// rates returns the growth of a counter per second for each router.
func (r result) rates(name string) []float64 {
	return r.perRouter(func(n int) float64 {
		return (r.after.counters[n][name] - r.before.counters[n][name]) / r.seconds()
	})
}

func (r result) perRouter(value func(n int) float64) []float64 {
	values := make([]float64, len(r.before.routers))
	for n := range values {
		values[n] = value(n)
	}
	return values
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

func listOf(values []float64, format string) string {
	texts := make([]string, len(values))
	for n, v := range values {
		texts[n] = fmt.Sprintf(format, v)
	}
	return strings.Join(texts, ",")
}
