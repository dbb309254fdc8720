package forward

import "peridotmoor.org/peridotmoor/internal/key"

// Holders is the shard table that the entry instance reads.
type Holders interface {
	// Find returns the holder of shard, or nil if it is unknown, and a channel that is
	// closed at the next change of the table.
	Find(shard key.ShardID) (*Holder, <-chan struct{})
}
