package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// ClaimReply is the answer of a witness to one claim.
type ClaimReply struct {
	Shard    key.ShardID
	Promised bool
	// Highest is the highest token that the witness has accepted.
	Highest Token
	// Remaining is how long a promise to another holder still runs.
	Remaining time.Duration
	// Holder is the instance to which the latest promise was made. It is zero when
	// that is the sender of the claim.
	Holder Instance
	// Mirrors is the latest mirror set that the witness was told. When the claim
	// has the same generation, the members are left out.
	Mirrors MirrorSet
}
