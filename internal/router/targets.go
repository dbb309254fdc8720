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

// takeoverWindow tells the servers that a new holder finds from those that are
// added to a running shard.
const takeoverWindow = 100 * time.Millisecond

// newTarget connects to a server of the unit's shard.
func (l *localShard) newTarget(config shard.ServerConfig) *route.Target {
	policy := l.components.tree().ServerPolicy(config.Name)
	options := l.limiterOptions(config.Name, policy)
	options.Start = ramp.ReasonAdded
	now := time.Now()
	if tenure := l.source.Tenure(); tenure != nil && now.Sub(tenure.Since) < takeoverWindow {
		options.Start = ramp.ReasonTakeover
		if l.inherited.Load().serverAt(config.Name, now).warm {
			options.Start = ramp.ReasonNone
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
		Gate:         limiter,
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

// applyLimits takes over changed slots, queue bounds and rates of known servers.
func (l *localShard) applyLimits(tree *settings.Tree) {
	for _, t := range l.targets() {
		t.Gate.SetLimits(l.limiterOptions(t.Name, tree.ServerPolicy(t.Name)))
	}
}

// reserveInheritedSlots keeps the slots that the last holder's requests still use out of use
// until they end.
func (l *localShard) reserveInheritedSlots(target *route.Target, now time.Time) {
	busy := l.inherited.Load()
	slots := busy.serverAt(target.Name, now).slots
	if slots == 0 {
		return
	}
	target.Gate.SetBusy(slots)
	time.AfterFunc(busy.until.Sub(now), func() { target.Gate.SetBusy(0) })
}

// newTracedServer returns the client of a server, with a span for each dispatch.
func (c *components) newTracedServer(name, address string, connections int, limiter *admission.Gate) *tracedServer {
	return &tracedServer{Server: httpbackend.New(name, address, connections), name: name, tracer: c.tracer, limiter: limiter}
}
