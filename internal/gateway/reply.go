package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backhttp"
)

// Reply is the final reply to a call.
type Reply struct {
	Outcome Outcome
	// Response is the server's response if Outcome is OutcomeAnswered. The remainder of a
	// long one ends at the deadline of the call and when the caller leaves.
	Response *backhttp.Response
	// RetryAfter is how long the caller should wait before a retry after OutcomeNotRun.
	RetryAfter time.Duration
	// Detail describes the outcome in the log.
	Detail string
}
