package backend

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Order identifies who gives an instruction to a backend server.
type Order struct {
	Shard key.ShardID
	Token authority.Token
	// Holder is the instance that holds the shard.
	Holder authority.Instance
}
