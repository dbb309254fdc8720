package gateway

import (
	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Result is the end of one attempt.
type Result struct {
	Outcome placing.Outcome
	// Answer is set when Outcome is placing.Answered.
	Answer *backhttp.Response
	Load   placing.Load
	// Detail says what happened, for the log.
	Detail string
}
