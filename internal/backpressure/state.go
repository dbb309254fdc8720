package backpressure

import "time"

// State is what one incarnation of a backend server asks of the fleet, as far as an
// instance knows.
type State struct {
	// Leaving is set once the incarnation has said that it is leaving. It stays set,
	// as a server that stays in service starts as a new incarnation.
	Leaving bool
	// ChangedAt is when this instance last learned something new.
	ChangedAt time.Time
}

// Observe returns the state after a response with the given signal, and whether that
// told anything new.
func (s State) Observe(signal Signal, now time.Time) (State, bool) {
	return s.merge(State{Leaving: signal.Leaving}, now)
}

// merge returns the state with what another one knows in addition, and whether that is
// anything new.
func (s State) merge(other State, now time.Time) (State, bool) {
	if s.Leaving || !other.Leaving {
		return s, false
	}
	s.Leaving, s.ChangedAt = true, now
	return s, true
}
