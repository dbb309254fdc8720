package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// EncodeBackpressure converts what servers ask of the fleet and of the sending instance.
func EncodeBackpressure(states backpressure.States, now time.Time) []*linkpb.ServerState {
	var out []*linkpb.ServerState
	for server, state := range states.All() {
		out = append(out, EncodeServerState(server, state, now))
	}
	return out
}

// EncodeServerState converts what one server asks of the fleet and of the sending instance.
func EncodeServerState(server fleet.Incarnation, state backpressure.State, now time.Time) *linkpb.ServerState {
	out := &linkpb.ServerState{
		Name: server.Name, Born: server.StartMS, Leaving: state.Leaving, PauseUs: max(0, state.PausedUntil.Sub(now).Microseconds()),
	}
	if !state.LimitAt.IsZero() {
		out.LimitKnown, out.LimitAgeUs = true, now.Sub(state.LimitAt).Microseconds()
		out.Limited, out.LimitPerS = state.Limit.Named, state.Limit.PerSecond
	}
	return out
}

// DecodePause returns the server that wants no requests from the sender of a message that
// arrived at now, and until when, or false if it has not asked for a pause.
func DecodePause(s *linkpb.ServerState, now time.Time) (fleet.Incarnation, time.Time, bool) {
	return incarnationOf(s), now.Add(microseconds(s.PauseUs)), s.PauseUs > 0
}

func incarnationOf(s *linkpb.ServerState) fleet.Incarnation {
	return fleet.Incarnation{Name: s.Name, StartMS: s.Born}
}

// MergeBackpressure records in the registry what servers ask of the fleet, as another
// instance has told at now.
func MergeBackpressure(registry *facts.Registry, states []*linkpb.ServerState, now time.Time) {
	for _, s := range states {
		state := backpressure.State{Leaving: s.Leaving}
		if s.LimitKnown {
			state.Limit = backpressure.Limit{Named: s.Limited, PerSecond: s.LimitPerS}
			state.LimitAt = now.Add(-microseconds(s.LimitAgeUs))
		}
		registry.MergeBackpressure(incarnationOf(s), state, now)
	}
}
