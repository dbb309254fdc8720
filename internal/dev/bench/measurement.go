package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// measurement is what one run has measured.
type measurement struct {
	options       Options
	before, after usageSnapshot
	load          loadResult
	serverList    []servers.ServerInfo
	records       []recordCount
	// settingsDelay is the time until a new version of the settings was in effect in
	// every router.
	settingsDelay time.Duration
}

// elapsedSeconds returns the duration of the measured period.
func (r measurement) elapsedSeconds() float64 {
	return r.after.takenAt.Sub(r.before.takenAt).Seconds()
}

// formatFigures returns all figures as name=value, separated by spaces. Lists have one
// value for each router.
func (r measurement) formatFigures() string {
	o := r.options
	var parts []string
	add := func(name, format string, values ...any) {
		parts = append(parts, name+"="+fmt.Sprintf(format, values...))
	}
	add("routers", "%d", len(r.before.routers))
	add("shards", "%d", o.Services*o.ShardsPerService)
	add("servers", "%d", o.Servers)
	add("keyed", "%t", o.Keyed)
	add("procs", "%d", o.MaxProcs)
	add("rate", "%d", o.Rate)
	r.addLoad(add)
	add("seconds", "%.1f", r.elapsedSeconds())
	if !o.Direct {
		r.addRouters(add)
		add("platform_cpu_pct", "%.1f", 100*(r.after.platform.cpuSeconds-r.before.platform.cpuSeconds)/r.elapsedSeconds())
	}
	add("servers_cpu_pct", "%.0f", 100*(r.after.servers.cpuSeconds-r.before.servers.cpuSeconds)/r.elapsedSeconds())
	add("bench_cpu_pct", "%.0f", 100*(r.after.bench.cpuSeconds-r.before.bench.cpuSeconds)/r.elapsedSeconds())
	add("machine_idle_pct", "%.0f", 100*r.after.machine.idleShareSince(r.before.machine))
	return strings.Join(parts, " ")
}

// addLoad adds the rate of answered requests, the latencies and the outcomes.
func (r measurement) addLoad(add func(string, string, ...any)) {
	reads, sentReads := r.load.reads.counts()
	writes, sentWrites := r.load.writes.counts()
	add("reached", "%.0f", float64(reads+writes)/r.options.Duration.Seconds())
	if sentReads > 0 {
		add("reads_ms", "%s", r.load.reads.formatQuantiles())
		add("reads", "%s", formatOutcomes(r.load.reads))
	}
	if sentWrites > 0 {
		add("orders_ms", "%s", r.load.writes.formatQuantiles())
		add("orders", "%s", formatOutcomes(r.load.writes))
	}
}

func formatOutcomes(l *latencyRecorder) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.outcomes)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, l.outcomes[name]))
	}
	return strings.Join(parts, ",")
}

func (r measurement) addRouters(add func(string, string, ...any)) {
	cpuSeconds := r.perRouter(func(n int) float64 { return r.after.routers[n].cpuSeconds - r.before.routers[n].cpuSeconds })
	add("cpu_s", "%s", formatList(cpuSeconds, "%.2f"))
	add("cpu_pct_mean", "%.2f", 100*mean(cpuSeconds)/r.elapsedSeconds())
	reads, _ := r.load.reads.counts()
	writes, _ := r.load.writes.counts()
	if reads+writes > 0 {
		add("cpu_us_per_request", "%.0f", 1e6*mean(cpuSeconds)*float64(len(cpuSeconds))/float64(reads+writes))
	}
	add("rss_mb", "%s", formatList(r.perRouter(func(n int) float64 { return r.after.routers[n].residentBytes / (1 << 20) }), "%.0f"))
	add("transferred_bytes_s", "%s", formatList(r.perRouter(func(n int) float64 {
		return (r.after.routers[n].ioBytes - r.before.routers[n].ioBytes) / r.elapsedSeconds()
	}), "%.0f"))
	add("control_bytes_s", "%s", formatList(r.ratePerRouter(metricBytes), "%.0f"))
	add("control_bytes_s_mean", "%.0f", mean(r.ratePerRouter(metricBytes)))
	add("control_messages_s", "%s", formatList(r.ratePerRouter(metricMessages), "%.0f"))
	add("store_calls_s", "%s", formatList(r.ratePerRouter(metricStore), "%.1f"))
	add("record_lines", "%s", formatList(r.perRouter(func(n int) float64 { return float64(r.records[n].written) }), "%.0f"))
	add("records_dropped", "%s", formatList(r.perRouter(func(n int) float64 { return float64(r.records[n].dropped) }), "%.0f"))
	add("bytes_by_message", "%s", r.formatRatesByLabel(metricBytes, "%.0f"))
	add("settings_bytes", "%d", len(settingsText(r.options, addressesByName(r.serverList), 0)))
	add("settings_s", "%.2f", r.settingsDelay.Seconds())
	add("store_calls_by_call", "%s", r.formatRatesByLabel(metricStore, "%.2f"))
	add("messages_by_message", "%s", r.formatRatesByLabel(metricMessages, "%.0f"))
}

// formatRatesByLabel returns the rate of each message or store call, as a mean over the
// routers.
func (r measurement) formatRatesByLabel(metric, format string) string {
	names := map[string]bool{}
	for _, counted := range r.after.metrics {
		for name := range counted {
			if label, found := strings.CutPrefix(name, metric+"/"); found {
				names[label] = true
			}
		}
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		parts = append(parts, fmt.Sprintf("%s:"+format, name, mean(r.ratePerRouter(metric+"/"+name))))
	}
	return strings.Join(parts, ",")
}

// ratePerRouter returns the increase of a metric per second for each router.
func (r measurement) ratePerRouter(name string) []float64 {
	return r.perRouter(func(n int) float64 {
		return (r.after.metrics[n][name] - r.before.metrics[n][name]) / r.elapsedSeconds()
	})
}

func (r measurement) perRouter(value func(n int) float64) []float64 {
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

func formatList(values []float64, format string) string {
	texts := make([]string, len(values))
	for n, v := range values {
		texts[n] = fmt.Sprintf(format, v)
	}
	return strings.Join(texts, ",")
}
