package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// readyLimit is how long a starting instance waits for a holder of every shard. A
// shard that has none must not keep the others from being served.
const readyLimit = 5 * time.Second

// becomeReady takes the instance into service once it knows a holder of every
// shard: before that it could only let requests wait.
func (i *Instance) becomeReady(ctx context.Context) {
	limit := time.NewTimer(readyLimit)
	defer limit.Stop()
	for late := false; !late; {
		changed := i.parts.publisher.ShardsChanged()
		if coversAll(i.parts.tree(), i.parts.publisher.Shards()) {
			break
		}
		select {
		case <-changed:
		case <-limit.C:
			late = true
		case <-ctx.Done():
			return
		}
	}
	i.readiness.ready.Store(true)
	i.parts.log.Emit(events.InstanceReady)
}

// coversAll reports whether every shard of the services that are in has a holder.
func coversAll(tree *settings.Tree, table *exchange.ShardTable) bool {
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
