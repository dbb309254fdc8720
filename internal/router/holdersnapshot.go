package router

import (
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
)

// holderSnapshot is one immutable state of the table.
type holderSnapshot struct {
	holders map[key.ShardID]*forward.Holder
	changed chan struct{}
}
