package facts

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// ObserveSignal records what a server asks of the fleet in a response. It returns true
// if that is new.
func (r *Registry) ObserveSignal(server fleet.Incarnation, signal backpressure.Signal, now time.Time) bool {
	return r.updateBackpressure(server, func(states backpressure.States) (backpressure.States, bool) {
		return states.Observe(server, signal, now)
	})
}

// MergeBackpressure records what another instance knows of a server. It returns true if
// that is new.
func (r *Registry) MergeBackpressure(server fleet.Incarnation, state backpressure.State, now time.Time) bool {
	return r.updateBackpressure(server, func(states backpressure.States) (backpressure.States, bool) {
		return states.Merge(server, state, now)
	})
}

func (r *Registry) updateBackpressure(server fleet.Incarnation, next func(backpressure.States) (backpressure.States, bool)) bool {
	var old, state backpressure.State
	changed := r.update(func(s *Snapshot) *Snapshot {
		states, changed := next(s.Backpressure)
		if !changed {
			return nil
		}
		old, state = s.Backpressure.Of(server), states.Of(server)
		return s.withBackpressure(states, server)
	})
	if changed {
		r.logBackpressure(server, old, state)
	}
	return changed
}

// logBackpressure logs what is new in the state of a server.
func (r *Registry) logBackpressure(server fleet.Incarnation, old, state backpressure.State) {
	if state.Leaving && !old.Leaving {
		r.log.Emit(events.ServerSaysLeaving, "server", server.Name, "start_ms", server.StartMS)
	}
	if state.PausedUntil != old.PausedUntil {
		r.log.Emit(events.ServerAsksForPause, "server", server.Name, "start_ms", server.StartMS, "pause_ms", time.Until(state.PausedUntil).Milliseconds())
	}
	if state.Limit != old.Limit {
		r.log.Emit(events.ServerLimitChanged, "server", server.Name, "start_ms", server.StartMS, "per_s", state.Limit.PerSecond)
	}
	if state.Unreadable != old.Unreadable {
		r.log.Emit(events.SignalUnreadable, "server", server.Name, "start_ms", server.StartMS, "detail", state.Unreadable)
	}
}
