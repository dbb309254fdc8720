package dispatch

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// dispatchResult is the result of one of the dispatches of a hedged request.
type dispatchResult struct {
	index    int
	response *request.Response
	problem  *problem.Problem
	// failedServer is the name of the server if the dispatch failed, else that of the
	// last failed attempt before.
	failedServer string
}
