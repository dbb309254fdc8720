package report

import "time"

// SummaryRow counts the requests of one service in one hour.
type SummaryRow struct {
	Service string    `json:"service"`
	Hour    time.Time `json:"hour"`
	Counts
	// Reasons are the causes of unanswered requests, most frequent first.
	Reasons []Reason `json:"reasons"`
	// Latencies are those of answered requests.
	Latencies Latencies `json:"latencies"`
}
