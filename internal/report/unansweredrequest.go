package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// UnansweredRequest is one request that may have run although its caller did not get the
// answer.
type UnansweredRequest struct {
	ID               string          `json:"request_id"`
	Service          string          `json:"service"`
	Key              string          `json:"key"`
	Idempotent       bool            `json:"idempotent"`
	IdempotenceKnown bool            `json:"-"`
	Arrived          time.Time       `json:"arrived"`
	Outcome          outcome.Outcome `json:"outcome"`
	Kind             string          `json:"kind"`
	// Ran is what the records show about an execution: ExecutionConfirmed,
	// ExecutionPossible or NoDispatchRecorded.
	Ran string `json:"ran"`
	// Servers are the servers that ran it or may have.
	Servers []string `json:"servers"`
	Proof   string   `json:"proof"`
}
