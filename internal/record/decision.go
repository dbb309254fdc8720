package record

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Decision is what to do with an arriving request.
type Decision struct {
	Action Action
	// Execution is set for ActionRun and ActionJoin.
	Execution *Execution
	// Response is set for ActionReplay.
	Response *request.Response
	// Problem is set for ActionRefuse.
	Problem *problem.Problem
}
