package dispatch

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// dispatchResult is the end of one of the two dispatches.
type dispatchResult struct {
	index   int
	answer  *request.Answer
	problem *problem.Problem
	// failedServer names the server that failedServer, if any.
	failedServer string
}
