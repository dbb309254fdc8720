package router

import (
	"context"
	"sync"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// followSettings applies each version of the settings that comes into effect.
func (i *Instance) followSettings(ctx context.Context) {
	var first sync.Once
	for {
		changed := i.parts.publisher.SettingsChanged()
		if installed := i.parts.publisher.Settings(); installed != nil {
			i.apply(ctx, installed.Tree)
			i.followDomain(ctx, installed.Tree)
			i.parts.log.Emit(events.SettingsApplied, events.FieldSettingsVersion, installed.Version.Number)
			first.Do(func() { i.leaving.Go(func() { i.becomeReady(ctx) }) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			i.shards.end()
			return
		}
	}
}

func (i *Instance) apply(ctx context.Context, tree *settings.Tree) {
	i.shards.apply(ctx, tree)
	control := tree.Control()
	// The calls only queue; they fail when the keeper has stopped.
	i.parts.quarantine.SetDuration(control.QuarantineDuration)
	_ = i.parts.keeper.SetTiming(ctx, control.PromiseTTL, control.RenewInterval)
	_ = i.parts.keeper.SetShards(ctx, descriptionsOf(tree))
	_ = i.parts.keeper.SetRetired(ctx, tree.RetiredInstances())
}

// followDomain takes the instance off the balancer while its failure domain is
// out, and hands its shards over; requests that still arrive are served.
func (i *Instance) followDomain(ctx context.Context, tree *settings.Tree) {
	domain, known := tree.Domain(i.parts.self.Domain)
	out := known && domain.OutOfService
	if was := i.readiness.out.Swap(out); out && !was {
		i.leaving.Go(func() { i.shards.handOverAll(ctx) })
	}
}

// descriptionsOf lists the shards with the failure domains of their home regions.
func descriptionsOf(tree *settings.Tree) []authority.ShardSpec {
	var list []authority.ShardSpec
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		for index := range service.Shards {
			d := authority.ShardSpec{ID: key.ShardID{Service: name, Index: index}, HomeRegion: tree.HomeRegion(name, index)}
			for _, domain := range tree.Domains() {
				if domain.Region == d.HomeRegion && !domain.OutOfService {
					d.Domains = append(d.Domains, domain.Name)
				}
			}
			list = append(list, d)
		}
	}
	return list
}

// followHolders rebuilds the table that requests read at each change.
func (i *Instance) followHolders(ctx context.Context) {
	for {
		changed := i.parts.publisher.ShardsChanged()
		i.holders.replace(i.currentHolders())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instance) currentHolders() map[key.ShardID]*forward.Holder {
	holders := map[key.ShardID]*forward.Holder{}
	for _, e := range i.parts.publisher.Shards().Entries() {
		holders[e.Shard] = &forward.Holder{Instance: e.Holder, Address: e.Address, Token: e.Token}
	}
	return holders
}

// followAdvice hands shards over to their preferred holders, one at a time.
func (i *Instance) followAdvice(ctx context.Context) {
	for {
		select {
		case advice := <-i.parts.keeper.HandOvers():
			if unit := i.shards.get(advice.Shard); unit != nil {
				unit.handOver(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}
