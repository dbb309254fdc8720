package page

import (
	"fmt"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// percentile describes how one percentile of the latencies is selected and plotted.
type percentile struct {
	class, label string
	of           func(report.Latencies) time.Duration
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
