package shard

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Status is a summary of a shard for metrics. It is immutable.
type Status struct {
	Shard key.ShardID
	Token authority.Token
	// Ranges counts all ranges, BlockedRanges those whose requests wait.
	Ranges        int
	BlockedRanges int
	// Uncommitted reports that the assignment in force differs from the stored one.
	Uncommitted bool
	// OwnersReplaced counts owners that were replaced after a loss, MovesCompleted
	// changes of owner, and MovesPostponed moves that were postponed because of
	// requests in flight, since the takeover.
	OwnersReplaced uint64
	MovesCompleted uint64
	MovesPostponed uint64
	Servers        []ServerStatus
}
