package report

import "time"

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
