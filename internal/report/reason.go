package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Reason is one cause of requests that were not answered.
type Reason struct {
	Outcome outcome.Outcome `json:"outcome"`
	Kind    string          `json:"kind"`
	// StageText says at which stage the requests ended.
	StageText string `json:"why"`
	Count     int    `json:"count"`
}
