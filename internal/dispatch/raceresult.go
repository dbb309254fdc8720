package dispatch

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// raceResult is the end of one of the two dispatches.
type raceResult struct {
	index  int
	answer *request.Answer
	p      *problem.Problem
	// failed names the server that failed, if any.
	failed string
}
