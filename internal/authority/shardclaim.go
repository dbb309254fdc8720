package authority

import "peridotmoor.org/peridotmoor/internal/key"

// ShardClaim asks a witness for a promise about one shard.
type ShardClaim struct {
	Shard key.ShardID
	Token Token
	// Mirrors is the mirror set of the holder. Generation 0 makes no statement
	// and leaves the set that the witness knows. Members are left out once the
	// witness has acknowledged the generation.
	Mirrors MirrorSet
	// Config is sent until the witness has promised under the claim. A witness
	// that learns a new epoch from it can succeed the holder although the store
	// went down before it read the record. It is nil afterwards.
	Config *WitnessConfig
	// Release gives the promise back at once.
	Release bool
}
