package shard

import "peridotmoor.org/peridotmoor/internal/assign"

// commitResult is the outcome of committing an assignment.
type commitResult struct {
	// before is the assignment that the plan started from.
	before assign.Assignment
	next   assign.Assignment
	err    error
}
