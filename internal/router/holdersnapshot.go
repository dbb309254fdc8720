package router

import (
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
)

// holderSnapshot is one immutable state of a holderTable.
type holderSnapshot struct {
	holders map[key.ShardID]*forward.Holder
	// changed is closed when a newer snapshot replaces this one.
	changed chan struct{}
}
