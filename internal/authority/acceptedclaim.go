package authority

import "peridotmoor.org/peridotmoor/internal/key"

// AcceptedClaim is the highest claim that the own witness has accepted for a
// shard.
type AcceptedClaim struct {
	Shard  key.ShardID
	Token  Token
	Holder Instance
}
