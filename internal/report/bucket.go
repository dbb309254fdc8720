package report

import "time"

// Bucket holds the requests that arrived in one step of a timeline.
type Bucket struct {
	Start time.Time `json:"start"`
	Counts
	Latencies Latencies `json:"latencies"`
}
