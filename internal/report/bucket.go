package report

import "time"

// Bucket counts the requests that arrived in one interval of a timeline.
type Bucket struct {
	Start time.Time `json:"start"`
	Counts
	Latencies Latencies `json:"latencies"`
}
