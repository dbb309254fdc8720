package shard

import "peridotmoor.org/peridotmoor/internal/assign"

// commitResult is how committing an assignment ended.
type commitResult struct {
	// before is the assignment that the plan started from.
	before assign.Assignment
	next   assign.Assignment
	err    error
}
