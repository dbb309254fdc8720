package admission

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// observe feeds the end of a request into latency, ramp and cold detection.
func (g *Limiter) observe(result Result) {
	switch result.Kind {
	case Success:
		g.observeSuccess(result.Latency)
	case Failure:
		g.advanceRamp(ramp.State.Failure)
	case Shed:
		g.ObserveShed(time.Now())
	case Abandoned:
		g.latency.addLowerBound(result.Latency)
	}
}

func (g *Limiter) observeSuccess(sample time.Duration) {
	w := packedState(g.state.Load())
	slow := ramp.SlowWhileIdle(sample, g.latency.longTerm(), g.latency.samples.Load(), w.busy()+w.inherited())
	if g.latency.countSlow(slow) && !w.hasFlag(flagPaced) {
		g.latency.resetLongTerm()
		g.MarkCold(ramp.ReasonLatency)
	}
	g.latency.addSample(sample)
	if !w.hasFlag(flagPaced) {
		return
	}
	config := g.limits.Load().ramp
	g.advanceRamp(func(a ramp.State) ramp.State { return a.Success(config) })
}

// ObserveShed counts a refusal by the server: it halves the rate of a server that is
// not warm, and a second shed within 1 s turns a warm one cold.
func (g *Limiter) ObserveShed(now time.Time) {
	g.advanceRamp(ramp.State.Failure)
	reason := g.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) { return d.ObserveShed(now) })
	if reason != ramp.ReasonNone && g.rampState.Load().Warm {
		g.MarkCold(reason)
	}
}

// ObserveIncarnation reports the incarnation that a response of the server
// carried, and whether it has changed. A change turns the server cold.
func (g *Limiter) ObserveIncarnation(id string) bool {
	if g.detector.Load().SameIncarnation(id) {
		return false
	}
	reason := g.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) { return d.ObserveIncarnation(id) })
	if reason == ramp.ReasonNone {
		return false
	}
	g.MarkCold(reason)
	return true
}

// ObserveRefused reports that the server refused a connection.
func (g *Limiter) ObserveRefused() {
	g.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) {
		return d.ObserveRefused(), ramp.ReasonNone
	})
}

// ObserveAccepted reports that the server took a request. After a refused
// connection it counts as cold.
func (g *Limiter) ObserveAccepted() {
	if !g.detector.Load().LastRefused() {
		return
	}
	if reason := g.updateDetector(ramp.ColdStartDetector.ObserveAccepted); reason != ramp.ReasonNone {
		g.MarkCold(reason)
	}
}

// MarkCold starts the ramp of the server anew: 1 slot and the cold rate, or the
// takeover rate for ReasonTakeover.
func (g *Limiter) MarkCold(reason ramp.Reason) {
	first := ramp.Cold(g.limits.Load().ramp)
	if reason == ramp.ReasonTakeover {
		first = ramp.Takeover(g.limits.Load().ramp)
	}
	g.rampState.Store(&first)
	g.applyRampState()
	if g.onCold != nil {
		g.onCold(reason)
	}
}

// updateDetector applies one observation to the detector.
func (g *Limiter) updateDetector(observe func(ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason)) ramp.Reason {
	for {
		old := g.detector.Load()
		next, reason := observe(*old)
		if g.detector.CompareAndSwap(old, &next) {
			return reason
		}
	}
}

// advanceRamp applies one advanceRamp of the ramp unless the server is warm.
func (g *Limiter) advanceRamp(next func(ramp.State) ramp.State) {
	for {
		old := g.rampState.Load()
		if old.Warm {
			return
		}
		allowance := next(*old)
		if g.rampState.CompareAndSwap(old, &allowance) {
			g.applyRampState()
			return
		}
	}
}

// applyRampState writes the allowance into the word. It is read again after the
// swap, so that the last of several concurrent changes wins.
func (g *Limiter) applyRampState() {
	for {
		allowance := g.rampState.Load()
		g.update(func(old packedState) packedState {
			return old.withLimit(allowance.Slots).withFlag(flagPaced, !allowance.Warm)
		})
		if g.rampState.Load() == allowance {
			g.wakeDispatcher()
			return
		}
	}
}
