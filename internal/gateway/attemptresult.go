package gateway

import (
	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// AttemptResult is the result of one attempt at a backend server.
type AttemptResult struct {
	Outcome placing.Outcome
	// Response is set when Outcome is placing.Answered.
	Response *backhttp.Response
	Load     placing.Load
	// Open is set if the response shows that the server is not leaving.
	Open bool
	// Detail describes the result in the log.
	Detail string
}
