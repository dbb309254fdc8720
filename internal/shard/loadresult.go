package shard

import "peridotmoor.org/peridotmoor/internal/assign"

// loadResult is the outcome of reading the assignment.
type loadResult struct {
	assignment assign.Assignment
	err        error
}
