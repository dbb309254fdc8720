package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// answer is how a call ended.
type answer struct {
	link   *link
	number uint64
	// unsent reports that the tenure did not cover the call, which therefore never left.
	unsent   bool
	answer   backend.GrantAnswer
	received time.Time
	err      error
}
