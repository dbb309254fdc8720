package shard

import "peridotmoor.org/peridotmoor/internal/assign"

// loadResult is how reading the assignment ended.
type loadResult struct {
	assignment assign.Assignment
	err        error
}
