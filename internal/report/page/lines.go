package page

import (
	"fmt"
	"strings"
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

// line is one percentile. A bucket without answers interrupts it, so it has one or more parts.
type line struct {
	Class string
	Label string
	Parts []string // points of SVG polylines
}

// percentile names one percentile of latencies.
type percentile struct {
	class, label string
	of           func(report.Latencies) time.Duration
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
	axis := axisOf(t)
	top := niceTop(milliseconds(highest))
	p := &linePlot{Width: t.Width.String(), XTicks: axis.ticks(), YTicks: valueTicks(top, " ms")}
	for _, percentile := range percentiles {
		p.Lines = append(p.Lines, percentile.line(axis, t, top))
	}
	return p
}

func (p percentile) line(axis timeAxis, t report.Timeline, top float64) line {
	l := line{Class: p.class, Label: p.label}
	var part []string
	flush := func() {
		if len(part) > 0 {
			l.Parts = append(l.Parts, strings.Join(part, " "))
		}
		part = nil
	}
	for _, b := range t.Buckets {
		if b.Latencies.Count == 0 {
			flush()
			continue
		}
		point := fmt.Sprintf("%g,%g", axis.x(b.Start.Add(t.Width/2)), y(milliseconds(p.of(b.Latencies)), top))
		part = append(part, point)
	}
	flush()
	return l
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
