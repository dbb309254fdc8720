package report

import (
	"cmp"
	"slices"
	"time"
)

// Summary counts outcomes by service and hour.
type Summary struct {
	Window Window       `json:"window"`
	Total  Counts       `json:"total"`
	Rows   []SummaryRow `json:"rows"`
	// Missing describes the records that are known to be missing; they are not counted.
	Missing []string `json:"missing"`
}

// Summarize counts the requests that arrived in the window.
func Summarize(j *Journal, w Window) Summary {
	s := Summary{Window: w, Rows: []SummaryRow{}, Missing: j.Losses()}
	rows := map[rowKey]*rowCounter{}
	for _, h := range j.Histories(w) {
		key := rowKey{service: h.Service, hour: h.Start().UTC().Truncate(time.Hour)}
		row := rows[key]
		if row == nil {
			row = &rowCounter{reasons: map[Reason]int{}, latencies: newLatencyCounter()}
			rows[key] = row
		}
		row.add(h)
		s.Total.add(h.Outcome())
	}
	for key, row := range rows {
		s.Rows = append(s.Rows, row.row(key))
	}
	slices.SortFunc(s.Rows, func(a, b SummaryRow) int {
		return cmp.Or(a.Hour.Compare(b.Hour), cmp.Compare(a.Service, b.Service))
	})
	return s
}

// reason returns why the request was not answered. Count is not set.
func (h *RequestHistory) reason() Reason {
	last := h.decidingConclusion()
	if last == nil {
		return Reason{Outcome: OutcomeNotRecorded, Kind: "", StageText: "the record of the entry instance is missing"}
	}
	return Reason{Outcome: h.Outcome(), Kind: last.Kind, StageText: "ended " + last.describe()}
}
