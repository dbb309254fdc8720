package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/ramp"
	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/shard"
)

// takeoverWindow is the time after the start of a tenure in which new targets count as
// servers taken over from the previous holder; later ones count as added.
const takeoverWindow = 100 * time.Millisecond

// newTarget returns the target for a server of the shard.
func (l *localShard) newTarget(config shard.ServerConfig) *route.Target {
	policy := l.components.tree().ServerPolicy(config.Name)
	options := l.limiterOptions(config.Name, policy)
	options.StartReason = ramp.ReasonAdded
	now := time.Now()
	if tenure := l.source.Tenure(); tenure != nil && now.Sub(tenure.Since) < takeoverWindow {
		options.StartReason = ramp.ReasonTakeover
		if l.inherited.Load().serverAt(config.Name, now).warm {
			options.StartReason = ramp.ReasonNone
		}
	}
	options.OnCold = func(reason ramp.Reason) {
		l.components.log.Emit(events.ServerCold, events.FieldShard, l.id.String(), events.FieldServer, config.Name, "reason", string(reason))
	}
	limiter := admission.New(options)
	target := &route.Target{
		Name:         config.Name,
		Domain:       config.Domain,
		Server:       l.components.newTracedServer(config.Name, config.Address, policy.Connections, limiter),
		Limiter:      limiter,
		ChecksTokens: config.ChecksTokens,
	}
	l.reserveInheritedSlots(target, now)
	return target
}

func (l *localShard) limiterOptions(server string, policy settings.ServerPolicy) admission.Options {
	queue := l.components.tree().RequestPolicy(l.id.Service, l.components.self.Domain, "").QueueLimit
	return admission.Options{
		Server:     server,
		Slots:      policy.Slots,
		QueueLimit: queue,
		ColdRate:   float64(policy.ColdRate),
	}
}

// applyLimits applies changed slots, queue limits and rates to the existing targets.
func (l *localShard) applyLimits(tree *settings.Tree) {
	for _, t := range l.targets() {
		t.Limiter.SetLimits(l.limiterOptions(t.Name, tree.ServerPolicy(t.Name)))
	}
}

// reserveInheritedSlots reserves the slots that requests of the previous holder still use,
// until the report about them expires.
func (l *localShard) reserveInheritedSlots(target *route.Target, now time.Time) {
	inherited := l.inherited.Load()
	slots := inherited.serverAt(target.Name, now).slots
	if slots == 0 {
		return
	}
	target.Limiter.SetInheritedSlots(slots)
	time.AfterFunc(inherited.until.Sub(now), func() { target.Limiter.SetInheritedSlots(0) })
}

// newTracedServer returns a client of a server that creates a span for each dispatch.
func (c *components) newTracedServer(name, address string, connections int, limiter *admission.Limiter) *tracedServer {
	return &tracedServer{Server: httpbackend.New(name, address, connections), name: name, tracer: c.tracer, limiter: limiter}
}
