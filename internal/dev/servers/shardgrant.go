package servers

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// shardGrant is what one shard has granted to a server. It is immutable.
type shardGrant struct {
	// highest is the highest token seen for the shard.
	highest authority.Token
	// sequence is that of the last accepted grant with the highest token.
	sequence uint64
	ranges   []key.Range
	// holder is the instance that granted them.
	holder string
	// expiry is on the server's clock.
	expiry time.Duration
}

// owns reports whether h is granted at the reading now of the server's clock.
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
