package admission

import (
	"math"
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// limits is the immutable configuration of a limiter; SetLimits replaces it.
type limits struct {
	ramp       ramp.Config
	queueLimit int
}

// latencyHalfLife is the half-life of the latency of a server that gets no requests. The
// decay lets a server that was slow be tried again.
const latencyHalfLife = 2 * time.Second

// SetLimits changes slots, queue limit and rates. Requests that run or wait are not
// affected. StartReason, Server and OnCold of o are ignored.
func (l *Limiter) SetLimits(o Options) {
	next := o.limits()
	l.limits.Store(&next)
	for {
		old := l.rampState.Load()
		resized := old.Resize(next.ramp)
		if l.rampState.CompareAndSwap(old, &resized) {
			l.applyRampState()
			return
		}
	}
}

// SetInheritedSlots sets how many slots requests of an earlier holder still take. They are
// not granted to requests of this holder.
func (l *Limiter) SetInheritedSlots(n int) {
	n = max(0, min(n, maxSlots))
	l.update(func(old packedState) packedState { return old.withInherited(n) })
	l.wakeDispatcher()
}

// SetLoad stores the utilization that the server itself reports, 0 to 1 and above. The
// reports lag behind.
func (l *Limiter) SetLoad(utilization float64) {
	l.utilization.Store(math.Float64bits(utilization))
}

// Load returns the utilization last reported by the server.
func (l *Limiter) Load() float64 {
	return math.Float64frombits(l.utilization.Load())
}

// Outstanding returns the number of requests that run or wait, including those
// of an earlier holder.
func (l *Limiter) Outstanding() int {
	s := packedState(l.state.Load())
	return s.busy() + s.inherited() + s.waiting()
}

// Running returns the number of slots taken by requests of this holder.
func (l *Limiter) Running() int {
	return packedState(l.state.Load()).busy()
}

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int {
	return packedState(l.state.Load()).waiting()
}

// RampState returns the state of the slow start of the server.
func (l *Limiter) RampState() ramp.State {
	return *l.rampState.Load()
}

// Latency returns the short-term exponentially weighted moving average of the
// server's latency, or 0 before the first sample.
func (l *Limiter) Latency() time.Duration {
	return l.latency.shortTerm()
}

// LatencyAt returns Latency, decayed with latencyHalfLife once a half-life has passed
// without a sample.
func (l *Limiter) LatencyAt(now time.Time) time.Duration {
	average := l.latency.shortTerm()
	last := l.latency.last.Load()
	idle := now.UnixNano() - last
	if last == 0 || idle < int64(latencyHalfLife) {
		return average
	}
	return time.Duration(float64(average) * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
}

// ExpectedWait estimates how long a request that arrives now waits for a slot.
func (l *Limiter) ExpectedWait() time.Duration {
	return l.expectedWait(packedState(l.state.Load()))
}

func (l *Limiter) expectedWait(s packedState) time.Duration {
	wait := l.slotWait(s)
	if !s.hasFlag(flagPaced) {
		return wait
	}
	return max(wait, l.paceWait(s))
}

// paceWait returns the time to the next start plus one interval for each waiting request.
func (l *Limiter) paceWait(s packedState) time.Duration {
	next := time.Duration(l.nextStart.Load() - time.Now().UnixNano())
	ahead := float64(s.waiting()) / l.rampState.Load().Rate
	return max(next, 0) + time.Duration(ahead*float64(time.Second))
}

// slotWait estimates the wait for a slot if the requests ahead take the average latency
// each. Slots that requests of an earlier holder take are not counted.
func (l *Limiter) slotWait(s packedState) time.Duration {
	if s.waiting() == 0 && s.hasFreeSlot() {
		return 0
	}
	slots := max(1, s.limit()-s.inherited())
	return time.Duration(s.waiting()+1) * l.latency.shortTerm() / time.Duration(slots)
}
