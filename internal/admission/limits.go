package admission

import (
	"math"
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// limits is the immutable configuration that SetLimits replaces.
type limits struct {
	ramp       ramp.Config
	queueLimit int
}

// latencyHalfLife is the time after which the latency of a server that got no
// requests counts half, so that a server that was slow is tried again.
const latencyHalfLife = 2 * time.Second

// SetLimits changes slots, queue bound and rates; requests that run or wait are
// not affected. Start, Server and OnCold of o are ignored.
func (g *Limiter) SetLimits(o Options) {
	next := o.limits()
	g.limits.Store(&next)
	for {
		old := g.rampState.Load()
		resized := old.Resize(next.ramp)
		if g.rampState.CompareAndSwap(old, &resized) {
			g.applyRampState()
			return
		}
	}
}

// SetInheritedSlots states how many slots requests of an earlier holder still take. They
// are not given to requests of this holder.
func (g *Limiter) SetInheritedSlots(n int) {
	n = max(0, min(n, maxSlots))
	g.update(func(old packedState) packedState { return old.withInherited(n) })
	g.wakeDispatcher()
}

// SetLoad stores the server's own load report, 0 to 1 and above. It lags.
func (g *Limiter) SetLoad(utilization float64) {
	g.utilization.Store(math.Float64bits(utilization))
}

// Load returns the last load report.
func (g *Limiter) Load() float64 {
	return math.Float64frombits(g.utilization.Load())
}

// Outstanding returns the number of requests that run or wait, including those
// of an earlier holder.
func (g *Limiter) Outstanding() int {
	w := packedState(g.state.Load())
	return w.busy() + w.inherited() + w.waiting()
}

// Running returns the number of slots taken by requests of this holder.
func (g *Limiter) Running() int {
	return packedState(g.state.Load()).busy()
}

// Waiting returns the number of requests in the queue.
func (g *Limiter) Waiting() int {
	return packedState(g.state.Load()).waiting()
}

// RampState returns the current step of the ramp.
func (g *Limiter) RampState() ramp.State {
	return *g.rampState.Load()
}

// Latency returns the short-term exponentially weighted moving average of the
// server's latency, or 0 before the first answer.
func (g *Limiter) Latency() time.Duration {
	return g.latency.shortTerm()
}

// LatencyAt is Latency, halved for each latencyHalfLife without a sample.
func (g *Limiter) LatencyAt(now time.Time) time.Duration {
	average := g.latency.shortTerm()
	last := g.latency.last.Load()
	idle := now.UnixNano() - last
	if last == 0 || idle < int64(latencyHalfLife) {
		return average
	}
	return time.Duration(float64(average) * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
}

// ExpectedWait returns how long a request that arrives now is likely to wait for a slot.
func (g *Limiter) ExpectedWait() time.Duration {
	return g.expectedWait(packedState(g.state.Load()))
}

func (g *Limiter) expectedWait(w packedState) time.Duration {
	wait := g.slotWait(w)
	if !w.hasFlag(flagPaced) {
		return wait
	}
	return max(wait, g.paceWait(w))
}

// paceWait is the time to the next start and one interval for each request ahead.
func (g *Limiter) paceWait(w packedState) time.Duration {
	next := time.Duration(g.nextStart.Load() - time.Now().UnixNano())
	ahead := float64(w.waiting()) / g.rampState.Load().Rate
	return max(next, 0) + time.Duration(ahead*float64(time.Second))
}

// slotWait assumes that the requests ahead pass through the slots at the
// average latency. Slots that an earlier holder's requests take do not count.
func (g *Limiter) slotWait(w packedState) time.Duration {
	if w.waiting() == 0 && w.hasFreeSlot() {
		return 0
	}
	slots := max(1, w.limit()-w.inherited())
	return time.Duration(w.waiting()+1) * g.latency.shortTerm() / time.Duration(slots)
}
