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
func (u *unit) newTarget(config shard.ServerConfig) *route.Target {
	policy := u.parts.tree().ServerPolicy(config.Name)
	options := u.gateOptions(config.Name, policy)
	options.StartReason = ramp.ReasonAdded
	now := time.Now()
	if tenure := u.source.Tenure(); tenure != nil && now.Sub(tenure.Since) < takeoverWindow {
		options.StartReason = ramp.ReasonTakeover
		if u.busy.Load().at(config.Name, now).warm {
			options.StartReason = ramp.ReasonNone
		}
	}
	options.OnCold = func(reason ramp.Reason) {
		u.parts.log.Emit(events.ServerCold, events.FieldShard, u.id.String(), events.FieldServer, config.Name, "reason", string(reason))
	}
	gate := admission.New(options)
	target := &route.Target{
		Name:         config.Name,
		Domain:       config.Domain,
		Server:       u.parts.connect(config.Name, config.Address, policy.Connections, gate),
		Limiter:      gate,
		ChecksTokens: config.ChecksTokens,
	}
	u.occupy(target, now)
	return target
}

func (u *unit) gateOptions(server string, policy settings.ServerPolicy) admission.Options {
	queue := u.parts.tree().RequestPolicy(u.id.Service, u.parts.self.Domain, "").QueueLimit
	return admission.Options{
		Server:     server,
		Slots:      policy.Slots,
		QueueLimit: queue,
		ColdRate:   float64(policy.ColdRate),
	}
}

// applyLimits takes over changed slots, queue bounds and rates of known servers.
func (u *unit) applyLimits(tree *settings.Tree) {
	for _, t := range u.targets() {
		t.Limiter.SetLimits(u.gateOptions(t.Name, tree.ServerPolicy(t.Name)))
	}
}

// occupy keeps the slots that the last holder's requests still use out of use
// until they end.
func (u *unit) occupy(target *route.Target, now time.Time) {
	busy := u.busy.Load()
	slots := busy.at(target.Name, now).slots
	if slots == 0 {
		return
	}
	target.Limiter.SetInheritedSlots(slots)
	time.AfterFunc(busy.until.Sub(now), func() { target.Limiter.SetInheritedSlots(0) })
}

// connect returns the client of a server, with a span for each dispatch.
func (p *parts) connect(name, address string, connections int, gate *admission.Limiter) *tracedServer {
	return &tracedServer{Server: httpbackend.New(name, address, connections), name: name, tracer: p.tracer, gate: gate}
}
