package shard

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// AssignmentStore reads and writes the assignment in the shard record.
type AssignmentStore interface {
	// Load returns the last committed assignment, without ranges when none has been
	// committed yet. While the store is unavailable or slow it should return the copy
	// that the instance keeps as a witness: no range of the shard is served until Load
	// returns.
	Load(ctx context.Context) (assign.Assignment, error)
	// Commit writes the assignment with compare-and-swap, and reads it back when the
	// result of the write is unknown. A nil error means that the assignment is stored.
	Commit(ctx context.Context, next assign.Assignment) error
}
