package authority

import "peridotmoor.org/peridotmoor/internal/key"

// HandOver recommends handing a held shard over to its preferred holder.
type HandOver struct {
	Shard key.ShardID
	To    Member
}
