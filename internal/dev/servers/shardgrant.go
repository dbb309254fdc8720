package servers

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// shardGrant is the last grant of one shard to a server. It is immutable.
type shardGrant struct {
	// highest is the highest token seen for the shard.
	highest authority.Token
	// sequence is the sequence number of the last accepted grant with the highest token.
	sequence uint64
	ranges   []key.Range
	// holder is the instance that granted the ranges.
	holder string
	// expiry is a reading of the server's clock.
	expiry time.Duration
}

// owns reports whether hash is granted when the server's clock reads now.
func (h shardGrant) owns(hash key.Hash, now time.Duration) bool {
	if now >= h.expiry {
		return false
	}
	for _, r := range h.ranges {
		if r.Contains(hash) {
			return true
		}
	}
	return false
}
