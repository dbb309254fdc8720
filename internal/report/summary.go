package report

import (
	"cmp"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Summary counts outcomes by service and hour.
type Summary struct {
	Window Window `json:"window"`
	Total  Counts `json:"total"`
	Rows   []Row  `json:"rows"`
	// Missing says which records are known to be missing; the counts lack them.
	Missing []string `json:"missing"`
}

// Row is one service in one hour.
type Row struct {
	Service string    `json:"service"`
	Hour    time.Time `json:"hour"`
	Counts
	// Reasons are why requests were not answered, the most frequent first.
	Reasons []Reason `json:"reasons"`
	// Latencies are those of answered requests.
	Latencies Latencies `json:"latencies"`
}

// Reason is one cause of requests that were not answered.
type Reason struct {
	Outcome outcome.Outcome `json:"outcome"`
	Kind    string          `json:"kind"`
	// Why says at which stage the requests ended.
	Why   string `json:"why"`
	Count int    `json:"count"`
}

type rowKey struct {
	service string
	hour    time.Time
}

// Summarize counts the requests that arrived in the window.
func Summarize(j *Journal, w Window) Summary {
	s := Summary{Window: w, Rows: []Row{}, Missing: j.Losses()}
	rows := map[rowKey]*rowCounter{}
	for _, a := range j.Accounts(w) {
		key := rowKey{service: a.Service, hour: a.Start().UTC().Truncate(time.Hour)}
		row := rows[key]
		if row == nil {
			row = &rowCounter{reasons: map[Reason]int{}, latencies: newLatencyCounter()}
			rows[key] = row
		}
		row.add(a)
		s.Total.add(a.Outcome())
	}
	for key, row := range rows {
		s.Rows = append(s.Rows, row.row(key))
	}
	slices.SortFunc(s.Rows, func(a, b Row) int {
		return cmp.Or(a.Hour.Compare(b.Hour), cmp.Compare(a.Service, b.Service))
	})
	return s
}

// rowCounter collects one row.
type rowCounter struct {
	counts    Counts
	reasons   map[Reason]int
	latencies *latencyCounter
}

func (c *rowCounter) add(a *Account) {
	c.counts.add(a.Outcome())
	if a.Outcome() == outcome.Answered {
		c.latencies.add(a.Took())
		return
	}
	c.reasons[a.reason()]++
}

func (c *rowCounter) row(key rowKey) Row {
	row := Row{Service: key.service, Hour: key.hour, Counts: c.counts, Latencies: c.latencies.latencies()}
	for reason, count := range c.reasons {
		reason.Count = count
		row.Reasons = append(row.Reasons, reason)
	}
	slices.SortFunc(row.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Why, b.Why), cmp.Compare(a.Outcome, b.Outcome))
	})
	return row
}

// reason returns why the request was not answered, without a count.
func (a *Account) reason() Reason {
	last := a.deciding()
	if last == nil {
		return Reason{Outcome: OutcomeNotRecorded, Kind: "", Why: "the record of the entry instance is missing"}
	}
	return Reason{Outcome: a.Outcome(), Kind: last.Kind, Why: "ended " + last.meaning()}
}
