package router

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
)

// holderTable is the shard table that requests read. One goroutine replaces it whole.
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
	now := t.current.Load()
	return now.holders[shard], now.changed
}

// replace publishes a new table and wakes who waits for a change.
func (t *holderTable) replace(holders map[key.ShardID]*forward.Holder) {
	previous := t.current.Swap(&holderSnapshot{holders: holders, changed: make(chan struct{})})
	close(previous.changed)
}
