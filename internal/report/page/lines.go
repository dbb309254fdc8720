package page

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// linePlot shows latency percentiles over time.
type linePlot struct {
	Width  string
	Lines  []line
	XTicks []tick
	YTicks []tick
}

var percentiles = []percentile{
	{"p50", "50 in 100", func(l report.Latencies) time.Duration { return l.P50 }},
	{"p90", "90 in 100", func(l report.Latencies) time.Duration { return l.P90 }},
	{"p99", "99 in 100", func(l report.Latencies) time.Duration { return l.P99 }},
}

// newLinePlot returns nil when there is nothing to plot.
func newLinePlot(t report.Timeline) *linePlot {
	highest := time.Duration(0)
	for _, b := range t.Buckets {
		highest = max(highest, b.Latencies.P99)
	}
	if highest == 0 {
		return nil
	}
	axis := axisOfTimeline(t)
	top := axisMaximum(milliseconds(highest))
	p := &linePlot{Width: t.Width.String(), XTicks: axis.ticks(), YTicks: valueTicks(top, " ms")}
	for _, percentile := range percentiles {
		p.Lines = append(p.Lines, percentile.line(axis, t, top))
	}
	return p
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
