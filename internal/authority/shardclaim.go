package authority

import "peridotmoor.org/peridotmoor/internal/key"

// ShardClaim requests a promise for one shard.
type ShardClaim struct {
	Shard key.ShardID
	Token Token
	// Mirrors is the mirror set of the holder. Generation 0 leaves the set
	// known to the witness unchanged. The members are omitted once the witness
	// has acknowledged the generation.
	Mirrors MirrorSet
	// Config is sent until the witness has promised under the claim, and is nil
	// afterwards. A witness that learns a new epoch from it can take over from
	// the holder even if the store went down before the witness read the
	// record.
	Config *WitnessConfig
	// Release releases the promise immediately.
	Release bool
}
