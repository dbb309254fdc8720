package callers

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Record holds what a caller knows about one request after its last attempt.
type Record struct {
	RequestID  string    `json:"request_id"`
	Kind       string    `json:"kind"`
	Service    string    `json:"service"`
	Key        string    `json:"key"`
	Idempotent bool      `json:"idempotent"`
	Attempts   []Attempt `json:"attempts"`
	// Due is the planned send time. Latency is measured from it, so that it
	// includes delays of the load generator.
	Due     time.Time     `json:"due"`
	Latency time.Duration `json:"latency_ns"`
}

// FinalOutcome returns the outcome of the request over all attempts: answered if any
// attempt was, not run if none can have run, otherwise unknown.
func (r *Record) FinalOutcome() outcome.Outcome {
	final := outcome.NotRun
	for _, attempt := range r.Attempts {
		switch {
		case attempt.Outcome == outcome.Answered:
			return outcome.Answered
		case attempt.Outcome == outcome.NotRun, !attempt.Sent:
		default:
			final = outcome.Unknown
		}
	}
	return final
}

// ClaimedNotRun reports whether at least one attempt was sent, and every one that was
// sent was answered with "not run".
func (r *Record) ClaimedNotRun() bool {
	claimed := false
	for _, attempt := range r.Attempts {
		if !attempt.Sent {
			continue
		}
		if attempt.Outcome != outcome.NotRun {
			return false
		}
		claimed = true
	}
	return claimed
}

// HasMismatchedResponse reports whether any attempt received a mismatched response.
func (r *Record) HasMismatchedResponse() bool {
	for _, attempt := range r.Attempts {
		if attempt.MismatchedResponse {
			return true
		}
	}
	return false
}
