package router

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
)

// holderTable is the table of the shards' holders that requests read. One goroutine
// replaces its snapshot at each change.
type holderTable struct {
	current atomic.Pointer[holderSnapshot]
}

func newHolderTable() *holderTable {
	t := &holderTable{}
	t.current.Store(&holderSnapshot{changed: make(chan struct{})})
	return t
}

// Find implements forward.Holders.
func (t *holderTable) Find(shard key.ShardID) (*forward.Holder, <-chan struct{}) {
	snapshot := t.current.Load()
	return snapshot.holders[shard], snapshot.changed
}

// replace publishes a new table and notifies those that wait for a change.
func (t *holderTable) replace(holders map[key.ShardID]*forward.Holder) {
	previous := t.current.Swap(&holderSnapshot{holders: holders, changed: make(chan struct{})})
	close(previous.changed)
}
