package gateway

import (
	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	Outcome placing.Outcome
	// Response is set when Outcome is placing.Answered.
	Response *backhttp.Answer
	Load     placing.Load
	// Detail says what happened, for the log.
	Detail string
}
