package page

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/report"
)

// barPlot shows outcomes over time as stacked bars.
type barPlot struct {
	Width  string
	Bars   []bar
	XTicks []tick
	YTicks []tick
}

// newBarPlot returns nil when there is nothing to plot.
func newBarPlot(t report.Timeline) *barPlot {
	if len(t.Buckets) == 0 {
		return nil
	}
	axis := axisOfTimeline(t)
	highest := 0
	for _, b := range t.Buckets {
		highest = max(highest, b.Sent)
	}
	top := axisMaximum(float64(highest))
	p := &barPlot{Width: t.Width.String(), XTicks: axis.ticks(), YTicks: valueTicks(top, "")}
	for _, b := range t.Buckets {
		p.addStack(axis, t, b, top)
	}
	return p
}

func axisOfTimeline(t report.Timeline) timeAxis {
	last := t.Buckets[len(t.Buckets)-1]
	return timeAxis{from: t.Buckets[0].Start, until: last.Start.Add(t.Width)}
}

// addStack adds the segments of one bucket, from the bottom.
func (p *barPlot) addStack(axis timeAxis, t report.Timeline, b report.Bucket, top float64) {
	parts := []struct {
		class string
		count int
	}{{"answered", b.Answered}, {"not-run", b.NotRun}, {"unknown", b.Unknown}, {"not-recorded", b.NotRecorded}}
	below := 0
	left, right := axis.x(b.Start), axis.x(b.Start.Add(t.Width))
	for _, part := range parts {
		if part.count == 0 {
			continue
		}
		upper := y(float64(below+part.count), top)
		p.Bars = append(p.Bars, bar{
			X: left, Y: upper, W: round(right - left), H: round(y(float64(below), top) - upper),
			Class: part.class,
			Title: fmt.Sprintf("%s %s: %d", b.Start.UTC().Format("15:04:05.000"), part.class, part.count),
		})
		below += part.count
	}
}
