package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backhttp"
)

// Reply is the final answer to a call.
type Reply struct {
	Outcome Outcome
	// Answer is the server's answer when Outcome is OutcomeAnswered.
	Answer *backhttp.Response
	// RetryAfter is when the caller should come back after OutcomeNotRun.
	RetryAfter time.Duration
	// Detail says what happened, for the log.
	Detail string
}
