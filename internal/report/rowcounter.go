package report

import (
	"cmp"
	"slices"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// rowCounter accumulates one SummaryRow.
type rowCounter struct {
	counts    Counts
	reasons   map[Reason]int
	latencies *latencyCounter
}

func (c *rowCounter) add(h *RequestHistory) {
	c.counts.add(h.Outcome())
	if h.Outcome() == outcome.Answered {
		c.latencies.add(h.Duration())
		return
	}
	c.reasons[h.reason()]++
}

func (c *rowCounter) row(key rowKey) SummaryRow {
	row := SummaryRow{Service: key.service, Hour: key.hour, Counts: c.counts, Latencies: c.latencies.latencies()}
	for reason, count := range c.reasons {
		reason.Count = count
		row.Reasons = append(row.Reasons, reason)
	}
	slices.SortFunc(row.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.StageText, b.StageText), cmp.Compare(a.Outcome, b.Outcome))
	})
	return row
}
