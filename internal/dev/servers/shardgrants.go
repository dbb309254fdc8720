package servers

import "peridotmoor.org/peridotmoor/internal/key"

// shardGrants maps each shard to its last grant. It is immutable.
type shardGrants map[key.ShardID]shardGrant

// with returns a copy in which g is the grant of shard.
func (all shardGrants) with(shard key.ShardID, g shardGrant) shardGrants {
	next := make(shardGrants, len(all)+1)
	for id, other := range all {
		next[id] = other
	}
	next[shard] = g
	return next
}
