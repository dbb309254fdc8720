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

// followSettings applies each version of the settings that takes effect.
func (i *Instance) followSettings(ctx context.Context) {
	var first sync.Once
	for {
		changed := i.components.publisher.SettingsChanged()
		if installed := i.components.publisher.Settings(); installed != nil {
			i.apply(ctx, installed.Tree)
			i.applyDomainState(ctx, installed.Tree)
			i.components.log.Emit(events.SettingsApplied, events.FieldSettingsVersion, installed.Version.Number)
			first.Do(func() { i.background.Go(func() { i.becomeReady(ctx) }) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			i.shards.stop()
			return
		}
	}
}

func (i *Instance) apply(ctx context.Context, tree *settings.Tree) {
	i.shards.apply(ctx, tree)
	control := tree.Control()
	// The calls to the runner only enqueue; they fail only after it has stopped.
	i.components.quarantine.SetDuration(control.QuarantineDuration)
	_ = i.components.runner.SetTiming(ctx, control.PromiseTTL, control.RenewInterval)
	_ = i.components.runner.SetShards(ctx, shardSpecs(tree))
	_ = i.components.runner.SetRetired(ctx, tree.RetiredInstances())
}

// applyDomainState reports the instance as not ready while its failure domain is out of
// service, and hands its shards over. Requests that still arrive are served.
func (i *Instance) applyDomainState(ctx context.Context, tree *settings.Tree) {
	domain, known := tree.Domain(i.components.self.Domain)
	out := known && domain.OutOfService
	if wasOut := i.readiness.domainOutOfService.Swap(out); out && !wasOut {
		i.background.Go(func() { i.shards.handOverAll(ctx) })
	}
}

// shardSpecs lists all shards, each with the failure domains of its home region that are
// in service.
func shardSpecs(tree *settings.Tree) []authority.ShardSpec {
	var list []authority.ShardSpec
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		for index := range service.Shards {
			spec := authority.ShardSpec{ID: key.ShardID{Service: name, Index: index}, HomeRegion: tree.HomeRegion(name, index)}
			for _, domain := range tree.Domains() {
				if domain.Region == spec.HomeRegion && !domain.OutOfService {
					spec.Domains = append(spec.Domains, domain.Name)
				}
			}
			list = append(list, spec)
		}
	}
	return list
}

// followHolders replaces the table of holders at each change of the published shards.
func (i *Instance) followHolders(ctx context.Context) {
	for {
		changed := i.components.publisher.ShardsChanged()
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
	for _, e := range i.components.publisher.Shards().Entries() {
		holders[e.Shard] = &forward.Holder{Instance: e.Holder, Address: e.Address, Token: e.Token}
	}
	return holders
}

// followHandOverAdvice hands shards over to their preferred holders, one at a time, as
// the runner recommends.
func (i *Instance) followHandOverAdvice(ctx context.Context) {
	for {
		select {
		case advice := <-i.components.runner.HandOvers():
			if local := i.shards.findByID(advice.Shard); local != nil {
				local.handOver(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}
