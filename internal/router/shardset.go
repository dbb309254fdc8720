package router

import (
	"context"
	"sync"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/dispatch"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/shard"
)

// shardSet contains a localShard for each shard of the settings in effect. One goroutine
// applies new settings; requests read the current snapshot.
type shardSet struct {
	components *components
	current    atomic.Pointer[map[string][]*localShard]
	services   map[string]*serviceState
}

func newShardSet(c *components) *shardSet {
	s := &shardSet{components: c, services: map[string]*serviceState{}}
	s.current.Store(&map[string][]*localShard{})
	return s
}

// findByKey returns the shard of a key, or nil if the service is unknown.
func (s *shardSet) findByKey(service string, h key.Hash) *localShard {
	shards := (*s.current.Load())[service]
	if len(shards) == 0 {
		return nil
	}
	return shards[key.ShardIndex(h, len(shards))]
}

// findByID returns the shard with an ID, or nil.
func (s *shardSet) findByID(id key.ShardID) *localShard {
	shards := (*s.current.Load())[id.Service]
	if id.Index >= len(shards) {
		return nil
	}
	return shards[id.Index]
}

// ordered returns all shards, ordered by service and index.
func (s *shardSet) ordered(tree *settings.Tree) []*localShard {
	current := *s.current.Load()
	var list []*localShard
	for _, name := range tree.Services() {
		list = append(list, current[name]...)
	}
	return list
}

// apply applies new settings: existing shards get their new configuration, new ones are
// started and removed ones stopped. The number of shards of a service changes only while
// the service is out of service.
func (s *shardSet) apply(ctx context.Context, tree *settings.Tree) {
	previous := *s.current.Load()
	next := make(map[string][]*localShard, len(previous))
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		state := s.serviceState(tree, service)
		shards := previous[name]
		if len(shards) != service.Shards {
			shards = s.startShards(ctx, tree, service, state)
		}
		for i, l := range shards {
			l.config.Set(shardConfig(tree, service, i))
			l.applyLimits(tree)
		}
		next[name] = shards
	}
	s.current.Store(&next)
	for name, shards := range previous {
		if len(next[name]) == 0 || len(shards) > 0 && next[name][0] != shards[0] {
			stopAll(shards)
		}
	}
}

func (s *shardSet) startShards(ctx context.Context, tree *settings.Tree, service *settings.Service, state *serviceState) []*localShard {
	shards := make([]*localShard, service.Shards)
	for i := range shards {
		id := key.ShardID{Service: service.Name, Index: i}
		shards[i] = newLocalShard(s.components, id, key.ShardRange(i, service.Shards), state, shardConfig(tree, service, i))
		shards[i].start(ctx)
	}
	return shards
}

func stopAll(shards []*localShard) {
	for _, l := range shards {
		l.stop()
	}
}

func (s *shardSet) serviceState(tree *settings.Tree, service *settings.Service) *serviceState {
	policy := tree.RequestPolicy(service.Name, s.components.self.Domain, "")
	limits := dispatch.Limits{
		MaxRetries:               policy.RetryLimit,
		DisableHedging:           !policy.Hedge,
		IdleTimeout:              policy.IdleTimeout,
		MaxDeliveryTime:          tree.Control().MaxDeliveryTime,
		MaxRecordedResponseBytes: tree.Control().MaxRecordedResponseBytes,
	}
	if policy.RetryLimit == 0 {
		limits.MaxRetries = -1
	}
	state := s.services[service.Name]
	if state == nil {
		state = newServiceState(limits)
		s.services[service.Name] = state
	}
	state.limits.Store(&limits)
	return state
}

// shardConfig returns the configuration of one shard's runtime.
func shardConfig(tree *settings.Tree, service *settings.Service, index int) *shard.Config {
	control := tree.Control()
	config := shard.DefaultConfig()
	config.Keyed = service.Keyed
	config.RenewInterval = control.RenewInterval
	config.MaxDeliveryTime = control.MaxDeliveryTime
	config.Planner.MaxMovesPerSecond = control.MaxMovesPerSecond
	for _, server := range service.Servers(index) {
		config.Servers = append(config.Servers, shard.ServerConfig{
			Name:         server.Name,
			Domain:       server.Domain,
			Address:      server.Address,
			OutOfService: !server.Policy.InService,
			ChecksTokens: server.Policy.ChecksTokens,
			Slots:        server.Policy.Slots,
		})
	}
	return &config
}

// all returns all shards in no particular order.
func (s *shardSet) all() []*localShard {
	var list []*localShard
	for _, shards := range *s.current.Load() {
		list = append(list, shards...)
	}
	return list
}

// handOverAll hands all held shards over concurrently. It releases those
// whose hand-over failed.
func (s *shardSet) handOverAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, l := range s.all() {
		running.Go(func() {
			if !l.handOver(ctx) {
				l.drainWithTimeout(ctx)
				l.release(ctx)
			}
		})
	}
	running.Wait()
}

// drainAll waits until no request is in flight at any shard or ctx is cancelled.
func (s *shardSet) drainAll(ctx context.Context) {
	for _, l := range s.all() {
		l.drain(ctx)
	}
}

// stop stops all shards.
func (s *shardSet) stop() {
	stopAll(s.all())
}

// retriesAndHedges returns the number of retries and hedges of each service since the
// start of the process.
func (s *shardSet) retriesAndHedges() map[string]uint64 {
	counts := map[string]uint64{}
	for name, shards := range *s.current.Load() {
		if len(shards) > 0 {
			counts[name] = shards[0].service.retryBudget.Spent()
		}
	}
	return counts
}
