package authority

import "peridotmoor.org/peridotmoor/internal/key"

// HandOver is the advice to hand a held shard over to its preferred holder.
type HandOver struct {
	Shard key.ShardID
	To    Member
}
