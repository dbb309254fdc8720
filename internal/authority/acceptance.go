package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Acceptance reports the highest claim that the own witness has accepted.
type Acceptance struct {
	Shard  key.ShardID
	Token  Token
	Holder Instance
}
