package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Reason is one cause of unanswered requests.
type Reason struct {
	Outcome outcome.Outcome `json:"outcome"`
	Kind    string          `json:"kind"`
	// StageText describes the stage at which the requests ended.
	StageText string `json:"why"`
	Count     int    `json:"count"`
}
