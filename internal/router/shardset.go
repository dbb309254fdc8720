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

// shardSet holds a unit for each shard of the settings in effect. One goroutine
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

// findByKey returns the unit of a key, or nil when the service is unknown.
func (s *shardSet) findByKey(service string, h key.Hash) *localShard {
	units := (*s.current.Load())[service]
	if len(units) == 0 {
		return nil
	}
	return units[key.ShardIndex(h, len(units))]
}

// findByID returns the unit of a shard, or nil.
func (s *shardSet) findByID(id key.ShardID) *localShard {
	units := (*s.current.Load())[id.Service]
	if id.Index >= len(units) {
		return nil
	}
	return units[id.Index]
}

// ordered returns every unit, ordered by service and shard.
func (s *shardSet) ordered(tree *settings.Tree) []*localShard {
	current := *s.current.Load()
	var list []*localShard
	for _, name := range tree.Services() {
		list = append(list, current[name]...)
	}
	return list
}

// apply adapts the units to new settings: known shards get their new
// configuration, new ones start, and those that are gone end. The number of
// shards of a service changes only while the service is out.
func (s *shardSet) apply(ctx context.Context, tree *settings.Tree) {
	previous := *s.current.Load()
	next := make(map[string][]*localShard, len(previous))
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		state := s.serviceState(tree, service)
		units := previous[name]
		if len(units) != service.Shards {
			units = s.startShards(ctx, tree, service, state)
		}
		for i, u := range units {
			u.config.Set(shardConfig(tree, service, i))
			u.applyLimits(tree)
		}
		next[name] = units
	}
	s.current.Store(&next)
	for name, units := range previous {
		if len(next[name]) == 0 || len(units) > 0 && next[name][0] != units[0] {
			closeAll(units)
		}
	}
}

func (s *shardSet) startShards(ctx context.Context, tree *settings.Tree, service *settings.Service, state *serviceState) []*localShard {
	units := make([]*localShard, service.Shards)
	for i := range units {
		id := key.ShardID{Service: service.Name, Index: i}
		units[i] = newLocalShard(s.components, id, key.ShardRange(i, service.Shards), state, shardConfig(tree, service, i))
		units[i].start(ctx)
	}
	return units
}

func closeAll(units []*localShard) {
	for _, u := range units {
		u.close()
	}
}

func (s *shardSet) serviceState(tree *settings.Tree, service *settings.Service) *serviceState {
	policy := tree.RequestPolicy(service.Name, s.components.self.Domain, "")
	limits := dispatch.Limits{
		MaxRetries:               policy.RetryLimit,
		DisableHedging:           !policy.Hedge,
		IdleTimeout:              policy.IdleTimeout,
		MaxDeliveryTime:          tree.Control().MaxDelivery,
		MaxRecordedResponseBytes: tree.Control().AnswerLimit,
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
	config.MaxDeliveryTime = control.MaxDelivery
	config.Planner.MaxMovesPerSecond = control.MaxMoves
	for _, server := range service.Servers(index) {
		config.Servers = append(config.Servers, shard.ServerConfig{
			Name:         server.Name,
			Domain:       server.Domain,
			Address:      server.Address,
			OutOfService: !server.Policy.In,
			ChecksTokens: server.Policy.ChecksTokens,
			Slots:        server.Policy.Slots,
		})
	}
	return &config
}

// all returns every unit in no particular order.
func (s *shardSet) all() []*localShard {
	var list []*localShard
	for _, units := range *s.current.Load() {
		list = append(list, units...)
	}
	return list
}

// handOverAll hands all held shards over at the same time.
func (s *shardSet) handOverAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, u := range s.all() {
		running.Go(func() {
			if !u.handOver(ctx) {
				u.drainWithTimeout(ctx)
				u.release(ctx)
			}
		})
	}
	running.Wait()
}

// drainAll waits until no request is in flight at any shard or ctx ends.
func (s *shardSet) drainAll(ctx context.Context) {
	for _, u := range s.all() {
		u.drain(ctx)
	}
}

// close stops all units.
func (s *shardSet) close() {
	closeAll(s.all())
}

// retriesAndHedges returns the retries and hedges of each service since the start.
func (s *shardSet) retriesAndHedges() map[string]uint64 {
	spent := map[string]uint64{}
	for name, units := range *s.current.Load() {
		if len(units) > 0 {
			spent[name] = units[0].service.retryBudget.Spent()
		}
	}
	return spent
}
