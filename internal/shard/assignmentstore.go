package shard

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// AssignmentStore reads and writes the assignment in the shard record.
type AssignmentStore interface {
	// Load returns the last committed assignment, with no ranges when none was
	// ever committed. While the store is down or slow it should answer from the
	// copy that the instance keeps as a witness; until it answers, no range of the
	// shard is served.
	Load(ctx context.Context) (assign.Assignment, error)
	// Commit writes the assignment with compare-and-swap and reads it back when
	// the answer was lost. A nil error means that the assignment is acknowledged.
	Commit(ctx context.Context, next assign.Assignment) error
}
