package servers

import "peridotmoor.org/peridotmoor/internal/key"

// holdings maps shards to what they have granted. It is immutable.
type holdings map[key.ShardID]holding

// with returns a copy in which shard has granted h.
func (all holdings) with(shard key.ShardID, h holding) holdings {
	next := make(holdings, len(all)+1)
	for id, other := range all {
		next[id] = other
	}
	next[shard] = h
	return next
}
