package authority

import "peridotmoor.org/peridotmoor/internal/key"

// AcceptedClaim reports the highest claim that the own witness has accepted.
type AcceptedClaim struct {
	Shard  key.ShardID
	Token  Token
	Holder Instance
}
