package record

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// FetchRequest asks a mirror for all its records of a shard. Once the mirror has served
// it, the mirror refuses copies under a lower token.
type FetchRequest struct {
	Shard key.ShardID
	Token authority.Token
	To    authority.Instance
}
