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
	// Limit is the limit that the server names, as of LimitAt. It holds until a response
	// to a later request does not name it.
	Limit   Limit
	LimitAt time.Time
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
	return State{Leaving: s.Leaving, Limit: s.Limit, LimitAt: s.LimitAt}
}

// Observe returns the state after a response with the given signal, and whether that
// told anything new.
func (s State) Observe(signal Signal, now time.Time) (State, bool) {
	next := s
	next.Leaving = s.Leaving || signal.Leaving
	if until := now.Add(signal.Pause); signal.Pause > 0 && until.After(s.PausedUntil) {
		next.PausedUntil = until
	}
	switch {
	case signal.Limit.Named && !signal.Limit.similar(s.Limit):
		next.Limit, next.LimitAt = signal.Limit, now
	case !signal.Limit.Named && signal.Unreadable == "" && s.Limit.Named && signal.SentAt.After(s.LimitAt):
		next.Limit, next.LimitAt = Limit{}, signal.SentAt
	}
	if s.Unreadable == "" {
		next.Unreadable = signal.Unreadable
	}
	return s.replace(next, now)
}

// merge returns the state with what another instance knows in addition, and whether that
// is anything new.
func (s State) merge(other State, now time.Time) (State, bool) {
	next := s
	next.Leaving = s.Leaving || other.Leaving
	if other.LimitAt.After(s.LimitAt) && !other.Limit.similar(s.Limit) {
		next.Limit, next.LimitAt = other.Limit, other.LimitAt
	}
	return s.replace(next, now)
}

// replace returns next and true if it differs from s.
func (s State) replace(next State, now time.Time) (State, bool) {
	if next == s {
		return s, false
	}
	next.ChangedAt = now
	return next, true
}
