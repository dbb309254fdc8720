package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backhttp"
)

// Reply is the final answer to a call.
type Reply struct {
	Outcome Outcome
	// Response is the server's answer when Outcome is OutcomeAnswered.
	Response *backhttp.Answer
	// RetryAfter is when the caller should come back after OutcomeNotRun.
	RetryAfter time.Duration
	// Detail says what happened, for the log.
	Detail string
}
