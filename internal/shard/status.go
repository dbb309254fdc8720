package shard

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Status is a summary of a held shard for metrics. It is immutable.
type Status struct {
	Shard key.ShardID
	Token authority.Token
	// Ranges counts all ranges, Held those whose requests wait.
	Ranges        int
	BlockedRanges int
	// Uncommitted reports that owners in force differ from the stored assignment.
	Uncommitted bool
	// OwnersReplaced counts owners replaced after a loss, Moved completed changes of
	// owner, PutOff moves put off for requests in flight, since the takeover.
	OwnersReplaced uint64
	MovesCompleted uint64
	MovesPostponed uint64
	Servers        []ServerStatus
}
