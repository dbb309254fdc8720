package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/ramp"
	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/shard"
)

// limiterAdapter shows an admission gate to the shard runtime.
type limiterAdapter struct {
	limiter *admission.Gate
}

func limiterFor(t *route.Target) shard.Limiter {
	return &limiterAdapter{limiter: t.Gate}
}

// MarkCold implements shard.Gate.
func (a *limiterAdapter) MarkCold(reason string) {
	a.limiter.MarkCold(ramp.Reason(reason))
}

// MarkLeaving implements shard.Gate. A leaving server is not in the view's
// targets, so its gate needs no state.
func (a *limiterAdapter) MarkLeaving(bool) {}

// Cold implements shard.Gate.
func (a *limiterAdapter) Cold() bool {
	return !a.limiter.Allowance().Warm
}

// Latency implements shard.Gate.
func (a *limiterAdapter) Latency() time.Duration {
	return a.limiter.Latency()
}
