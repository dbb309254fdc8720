package servers

import "peridotmoor.org/peridotmoor/internal/key"

// shardGrants maps shards to what they have granted. It is immutable.
type shardGrants map[key.ShardID]shardGrant

// with returns a copy in which shard has granted h.
func (all shardGrants) with(shard key.ShardID, h shardGrant) shardGrants {
	next := make(shardGrants, len(all)+1)
	for id, other := range all {
		next[id] = other
	}
	next[shard] = h
	return next
}
