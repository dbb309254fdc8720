package admission

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// observe updates latency, slow start and cold detection at the end of a request.
func (l *Limiter) observe(result Result) {
	switch result.Kind {
	case Success:
		l.observeSuccess(result.Latency)
	case Failure:
		l.advanceRamp(ramp.State.Failure)
	case Shed:
		l.ObserveShed(time.Now())
	case Abandoned:
		l.latency.addLowerBound(result.Latency)
	}
}

func (l *Limiter) observeSuccess(sample time.Duration) {
	s := packedState(l.state.Load())
	slow := ramp.SlowWhileIdle(sample, l.latency.longTerm(), l.latency.samples.Load(), s.busy()+s.inherited())
	if l.latency.countSlow(slow) && !s.hasFlag(flagPaced) {
		l.latency.resetLongTerm()
		l.MarkCold(ramp.ReasonLatency)
	}
	l.latency.addSample(sample)
	if !s.hasFlag(flagPaced) {
		return
	}
	config := l.limits.Load().ramp
	l.advanceRamp(func(old ramp.State) ramp.State { return old.Success(config) })
}

// ObserveShed reports that the server refused a request because of overload. It halves the
// rate of a server that is not warm; a second refusal within 1 s makes a warm server cold.
func (l *Limiter) ObserveShed(now time.Time) {
	l.advanceRamp(ramp.State.Failure)
	reason := l.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) { return d.ObserveShed(now) })
	if reason != ramp.ReasonNone && l.rampState.Load().Warm {
		l.MarkCold(reason)
	}
}

// ObserveIncarnation records the incarnation that a response of the server carried and
// reports whether it has changed. A change makes the server cold.
func (l *Limiter) ObserveIncarnation(id string) bool {
	if l.detector.Load().SameIncarnation(id) {
		return false
	}
	reason := l.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) { return d.ObserveIncarnation(id) })
	if reason == ramp.ReasonNone {
		return false
	}
	l.MarkCold(reason)
	return true
}

// ObserveRefused reports that the server refused a connection.
func (l *Limiter) ObserveRefused() {
	l.updateDetector(func(d ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason) {
		return d.ObserveRefused(), ramp.ReasonNone
	})
}

// ObserveAccepted reports that the server accepted a request. If the last connection before
// was refused, the server becomes cold.
func (l *Limiter) ObserveAccepted() {
	if !l.detector.Load().LastRefused() {
		return
	}
	if reason := l.updateDetector(ramp.ColdStartDetector.ObserveAccepted); reason != ramp.ReasonNone {
		l.MarkCold(reason)
	}
}

// MarkCold restarts the slow start of the server: 1 slot and the cold rate, or the takeover
// rate for ReasonTakeover.
func (l *Limiter) MarkCold(reason ramp.Reason) {
	initial := ramp.Cold(l.limits.Load().ramp)
	if reason == ramp.ReasonTakeover {
		initial = ramp.Takeover(l.limits.Load().ramp)
	}
	l.rampState.Store(&initial)
	l.applyRampState()
	if l.onCold != nil {
		l.onCold(reason)
	}
}

// updateDetector applies one observation to the cold start detector.
func (l *Limiter) updateDetector(observe func(ramp.ColdStartDetector) (ramp.ColdStartDetector, ramp.Reason)) ramp.Reason {
	for {
		old := l.detector.Load()
		next, reason := observe(*old)
		if l.detector.CompareAndSwap(old, &next) {
			return reason
		}
	}
}

// advanceRamp applies one step to the slow start unless the server is warm.
func (l *Limiter) advanceRamp(next func(ramp.State) ramp.State) {
	for {
		old := l.rampState.Load()
		if old.Warm {
			return
		}
		state := next(*old)
		if l.rampState.CompareAndSwap(old, &state) {
			l.applyRampState()
			return
		}
	}
}

// applyRampState copies the slots and the pacing of rampState into the packed state. It
// reads rampState again afterwards, so that the last of several concurrent changes wins.
func (l *Limiter) applyRampState() {
	for {
		state := l.rampState.Load()
		l.update(func(old packedState) packedState {
			return old.withLimit(state.Slots).withFlag(flagPaced, !state.Warm)
		})
		if l.rampState.Load() == state {
			l.wakeDispatcher()
			return
		}
	}
}
