package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/ramp"
	"peridotmoor.org/peridotmoor/internal/route"
	"peridotmoor.org/peridotmoor/internal/shard"
)

// limiterAdapter implements shard.Limiter on the admission control of a server.
type limiterAdapter struct {
	limiter *admission.Limiter
}

func limiterFor(t *route.Target) shard.Limiter {
	return &limiterAdapter{limiter: t.Limiter}
}

// MarkCold implements shard.Limiter.
func (a *limiterAdapter) MarkCold(reason string) {
	a.limiter.MarkCold(ramp.Reason(reason))
}

// MarkLeaving implements shard.Limiter. It does nothing: a leaving server
// is not among the targets of the view.
func (a *limiterAdapter) MarkLeaving(bool) {}

// Cold implements shard.Limiter.
func (a *limiterAdapter) Cold() bool {
	return !a.limiter.RampState().Warm
}

// Latency implements shard.Limiter.
func (a *limiterAdapter) Latency() time.Duration {
	return a.limiter.Latency()
}
