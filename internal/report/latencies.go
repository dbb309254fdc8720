package report

import "time"

// Latencies are percentiles of the time from the first arrival of a request at an entry
// instance to its response, including repeated attempts of its caller.
type Latencies struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`
}
