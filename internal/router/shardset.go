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
	parts    *parts
	current  atomic.Pointer[map[string][]*unit]
	services map[string]*serviceState
}

func newShardSet(p *parts) *shardSet {
	s := &shardSet{parts: p, services: map[string]*serviceState{}}
	s.current.Store(&map[string][]*unit{})
	return s
}

// find returns the unit of a key, or nil when the service is unknown.
func (s *shardSet) find(service string, h key.Hash) *unit {
	units := (*s.current.Load())[service]
	if len(units) == 0 {
		return nil
	}
	return units[key.ShardIndex(h, len(units))]
}

// get returns the unit of a shard, or nil.
func (s *shardSet) get(id key.ShardID) *unit {
	units := (*s.current.Load())[id.Service]
	if id.Index >= len(units) {
		return nil
	}
	return units[id.Index]
}

// all returns every unit, ordered by service and shard.
func (s *shardSet) all(tree *settings.Tree) []*unit {
	current := *s.current.Load()
	var list []*unit
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
	next := make(map[string][]*unit, len(previous))
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		state := s.serviceState(tree, service)
		units := previous[name]
		if len(units) != service.Shards {
			units = s.startUnits(ctx, tree, service, state)
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
			endAll(units)
		}
	}
}

func (s *shardSet) startUnits(ctx context.Context, tree *settings.Tree, service *settings.Service, state *serviceState) []*unit {
	units := make([]*unit, service.Shards)
	for i := range units {
		id := key.ShardID{Service: service.Name, Index: i}
		units[i] = newUnit(s.parts, id, key.ShardRange(i, service.Shards), state, shardConfig(tree, service, i))
		units[i].start(ctx)
	}
	return units
}

func endAll(units []*unit) {
	for _, u := range units {
		u.end()
	}
}

func (s *shardSet) serviceState(tree *settings.Tree, service *settings.Service) *serviceState {
	policy := tree.RequestPolicy(service.Name, s.parts.self.Domain, "")
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

// units returns every unit in no particular order.
func (s *shardSet) units() []*unit {
	var list []*unit
	for _, units := range *s.current.Load() {
		list = append(list, units...)
	}
	return list
}

// handOverAll hands all held shards over at the same time.
func (s *shardSet) handOverAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, u := range s.units() {
		running.Go(func() {
			if !u.handOver(ctx) {
				u.drainBriefly(ctx)
				u.release(ctx)
			}
		})
	}
	running.Wait()
}

// drainAll waits until no request is in flight at any shard or ctx ends.
func (s *shardSet) drainAll(ctx context.Context) {
	for _, u := range s.units() {
		u.drain(ctx)
	}
}

// end stops all units.
func (s *shardSet) end() {
	endAll(s.units())
}

// spent returns the retries and hedges of each service since the start.
func (s *shardSet) spent() map[string]uint64 {
	spent := map[string]uint64{}
	for name, units := range *s.current.Load() {
		if len(units) > 0 {
			spent[name] = units[0].service.budget.Spent()
		}
	}
	return spent
}
