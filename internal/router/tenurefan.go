package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// tenureBroadcaster passes the changes of one tenure source, which has one receiver, on
// to the shard runtime and to the unit.
type tenureBroadcaster struct {
	source         authority.TenureSource
	runtimeChanged chan struct{}
	shardChanged   chan struct{}
}

func newTenureBroadcaster(source authority.TenureSource) *tenureBroadcaster {
	return &tenureBroadcaster{source: source, runtimeChanged: make(chan struct{}, 1), shardChanged: make(chan struct{}, 1)}
}

// Tenure implements shard.TenureSource.
func (b *tenureBroadcaster) Tenure() *authority.Tenure {
	return b.source.Tenure()
}

// Changed implements shard.TenureSource for the runtime.
func (b *tenureBroadcaster) Changed() <-chan struct{} {
	return b.runtimeChanged
}

// run passes changes on until ctx ends.
func (b *tenureBroadcaster) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.source.Changed():
			notify(b.runtimeChanged)
			notify(b.shardChanged)
		}
	}
}

// notify fills a channel of capacity one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
