package forward

import "peridotmoor.org/peridotmoor/internal/key"

// Holders is the shard table that the entry reads.
type Holders interface {
	// Find returns the holder of shard, and a channel that is closed at the next
	// change of the table. The holder is nil while none is known.
	Find(shard key.ShardID) (*Holder, <-chan struct{})
}
