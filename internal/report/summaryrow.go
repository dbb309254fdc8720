package report

import "time"

// SummaryRow is one service in one hour.
type SummaryRow struct {
	Service string    `json:"service"`
	Hour    time.Time `json:"hour"`
	Counts
	// Reasons are why requests were not answered, the most frequent first.
	Reasons []Reason `json:"reasons"`
	// Latencies are those of answered requests.
	Latencies Latencies `json:"latencies"`
}
