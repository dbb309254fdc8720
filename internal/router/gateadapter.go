package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/ramp"
	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/shard"
)

// gateAdapter shows an admission gate to the shard runtime.
type gateAdapter struct {
	gate *admission.Limiter
}

func gateOf(t *route.Target) shard.Limiter {
	return &gateAdapter{gate: t.Limiter}
}

// MarkCold implements shard.Gate.
func (a *gateAdapter) MarkCold(reason string) {
	a.gate.MarkCold(ramp.Reason(reason))
}

// MarkLeaving implements shard.Gate. A leaving server is not in the view's
// targets, so its gate needs no state.
func (a *gateAdapter) MarkLeaving(bool) {}

// Cold implements shard.Gate.
func (a *gateAdapter) Cold() bool {
	return !a.gate.RampState().Warm
}

// Latency implements shard.Gate.
func (a *gateAdapter) Latency() time.Duration {
	return a.gate.Latency()
}
