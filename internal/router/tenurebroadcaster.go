package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// tenureBroadcaster forwards the changes of a tenure source to the shard runtime and to
// the localShard, since the source supports only one receiver.
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

// run forwards changes until ctx is cancelled.
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

// notify sends to a channel of capacity one. It does not block: a value that is already
// buffered is enough to wake the receiver.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
