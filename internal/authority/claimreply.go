package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// ClaimReply is a witness's reply to one claim.
type ClaimReply struct {
	Shard    key.ShardID
	Promised bool
	// Highest is the highest token that the witness has accepted.
	Highest Token
	// Remaining is the remaining time of a promise to another instance.
	Remaining time.Duration
	// Holder is the instance to which the latest promise was made, or zero if
	// that is the sender of the claim.
	Holder Instance
	// Mirrors is the latest mirror set known to the witness. The members are
	// omitted if the claim has the same generation.
	Mirrors MirrorSet
}
