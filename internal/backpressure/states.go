package backpressure

import (
	"iter"
	"maps"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// States holds the state of each incarnation that asks anything. It is immutable; the
// zero States is empty.
type States struct {
	byIncarnation map[fleet.Incarnation]State
}

// Of returns the state of an incarnation.
func (s States) Of(server fleet.Incarnation) State {
	return s.byIncarnation[server]
}

// Observe returns the states after a response of the server, and whether that told
// anything new.
func (s States) Observe(server fleet.Incarnation, signal Signal, now time.Time) (States, bool) {
	state, changed := s.byIncarnation[server].Observe(signal, now)
	if !changed {
		return s, false
	}
	return s.with(server, state), true
}

// Merge returns the states with what another instance knows of the server in addition,
// and whether that is anything new.
func (s States) Merge(server fleet.Incarnation, other State, now time.Time) (States, bool) {
	state, changed := s.byIncarnation[server].merge(other, now)
	if !changed {
		return s, false
	}
	return s.with(server, state), true
}

// ForOthers returns the states without what concerns only this instance.
func (s States) ForOthers() States {
	out := make(map[fleet.Incarnation]State, len(s.byIncarnation))
	for server, state := range s.byIncarnation {
		if state = state.forOthers(); state != (State{}) {
			out[server] = state
		}
	}
	return States{byIncarnation: out}
}

// ChangedSince returns the states that tell other instances something else than in base.
func (s States) ChangedSince(base States) States {
	return s.Retain(func(server fleet.Incarnation, state State) bool { return !state.SameForOthers(base.Of(server)) })
}

// All returns the states by incarnation.
func (s States) All() iter.Seq2[fleet.Incarnation, State] {
	return maps.All(s.byIncarnation)
}

// Retain returns the states for which keep returns true.
func (s States) Retain(keep func(fleet.Incarnation, State) bool) States {
	kept := map[fleet.Incarnation]State{}
	for server, state := range s.byIncarnation {
		if keep(server, state) {
			kept[server] = state
		}
	}
	return States{byIncarnation: kept}
}

func (s States) with(server fleet.Incarnation, state State) States {
	next := make(map[fleet.Incarnation]State, len(s.byIncarnation)+1)
	maps.Copy(next, s.byIncarnation)
	next[server] = state
	return States{byIncarnation: next}
}
