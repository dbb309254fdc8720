package backpressure

import "time"

// State is what one incarnation of a backend server asks of the fleet, as far as an
// instance knows.
type State struct {
	// Leaving is set once the incarnation has said that it is leaving. It stays set,
	// as a server that stays in service starts as a new incarnation.
	Leaving bool
	// PausedUntil is until when the server wants no requests from this instance. It says
	// nothing about other instances.
	PausedUntil time.Time
	// Unreadable is the first value of the server that could not be read, or "".
	Unreadable string
	// ChangedAt is when this instance last learned something new.
	ChangedAt time.Time
}

// Paused reports whether the server wants no requests from this instance at now.
func (s State) Paused(now time.Time) bool {
	return now.Before(s.PausedUntil)
}

// SameForOthers reports whether both states tell other instances the same.
func (s State) SameForOthers(other State) bool {
	return s.forOthers() == other.forOthers()
}

// forOthers returns the part of the state that concerns all instances.
func (s State) forOthers() State {
	return State{Leaving: s.Leaving}
}

// Observe returns the state after a response with the given signal, and whether that
// told anything new.
func (s State) Observe(signal Signal, now time.Time) (State, bool) {
	next, changed := s.merge(State{Leaving: signal.Leaving}, now)
	if until := now.Add(signal.Pause); signal.Pause > 0 && until.After(next.PausedUntil) {
		next.PausedUntil, next.ChangedAt, changed = until, now, true
	}
	if signal.Unreadable != "" && next.Unreadable == "" {
		next.Unreadable, next.ChangedAt, changed = signal.Unreadable, now, true
	}
	return next, changed
}

// merge returns the state with what another instance knows in addition, and whether that
// is anything new.
func (s State) merge(other State, now time.Time) (State, bool) {
	if s.Leaving || !other.Leaving {
		return s, false
	}
	s.Leaving, s.ChangedAt = true, now
	return s, true
}
