package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// EncodeBackpressure converts what servers ask of the fleet.
func EncodeBackpressure(states backpressure.States) []*linkpb.ServerState {
	var out []*linkpb.ServerState
	for server, state := range states.All() {
		out = append(out, EncodeServerState(server, state))
	}
	return out
}

// EncodeServerState converts what one server asks of the fleet.
func EncodeServerState(server fleet.Incarnation, state backpressure.State) *linkpb.ServerState {
	return &linkpb.ServerState{Name: server.Name, Born: server.StartMS, Leaving: state.Leaving}
}

// MergeBackpressure records in the registry what servers ask of the fleet, as another
// instance has told at now.
func MergeBackpressure(registry *facts.Registry, states []*linkpb.ServerState, now time.Time) {
	for _, s := range states {
		registry.MergeBackpressure(fleet.Incarnation{Name: s.Name, StartMS: s.Born}, backpressure.State{Leaving: s.Leaving}, now)
	}
}
