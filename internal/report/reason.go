package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Reason is one cause of requests that were not answered.
type Reason struct {
	Outcome outcome.Outcome `json:"outcome"`
	Kind    string          `json:"kind"`
	// Why says at which stage the requests ended.
	Why   string `json:"why"`
	Count int    `json:"count"`
}
