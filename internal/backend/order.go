package backend

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Order identifies the holder on whose behalf a backend server is called, and its
// fencing token.
type Order struct {
	Shard key.ShardID
	Token authority.Token
	// Holder is the instance that holds the shard.
	Holder authority.Instance
}
