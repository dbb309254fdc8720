package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// readyTimeout is how long a starting instance waits until every shard has a holder. A
// shard without a holder must not prevent the other shards from being served.
const readyTimeout = 5 * time.Second

// becomeReady reports the instance ready once it knows a holder of every shard, or after
// readyTimeout. Requests that arrived earlier would only wait for a holder.
func (i *Instance) becomeReady(ctx context.Context) {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	for timedOut := false; !timedOut; {
		changed := i.components.publisher.ShardsChanged()
		if allShardsHeld(i.components.tree(), i.components.publisher.Shards()) {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return
		}
	}
	i.readiness.ready.Store(true)
	i.components.log.Emit(events.InstanceReady)
}

// allShardsHeld reports whether every shard of the services in service has a holder.
func allShardsHeld(tree *settings.Tree, table *exchange.ShardTable) bool {
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		for index := range service.Shards {
			if _, known := table.Find(key.ShardID{Service: name, Index: index}); !known && !service.OutOfService {
				return false
			}
		}
	}
	return true
}
