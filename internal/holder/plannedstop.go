package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// plannedStop is the planned stop of this instance as far as the elector is concerned.
// A stopping instance finishes requests for seconds, and needs a holder for them.
type plannedStop struct {
	// begun is done once the planned stop has begun.
	begun context.Context
	begin context.CancelFunc
	// ending is done once the instance ends so soon that it should not be the holder.
	ending       context.Context
	endCandidacy context.CancelFunc
}

func newPlannedStop() plannedStop {
	var s plannedStop
	s.begun, s.begin = context.WithCancel(context.Background())
	s.ending, s.endCandidacy = context.WithCancel(context.Background())
	return s
}

func (s plannedStop) isStopping() bool { return s.begun.Err() != nil }
func (s plannedStop) isEnding() bool   { return s.ending.Err() != nil }

// announce tells the holder at the other end of the link about the planned stop. The
// returned function ends that.
func (s plannedStop) announce(l link.Link) (cancel func()) {
	cancelStopping := context.AfterFunc(s.begun, func() { l.Send(&linkpb.Up{Stopping: true}) })
	cancelEnding := context.AfterFunc(s.ending, func() { l.Send(&linkpb.Up{Ending: true}) })
	return func() {
		cancelStopping()
		cancelEnding()
	}
}

// BeginStop tells the elector that the planned stop of this instance has begun. Holders
// do not hand over to it any more.
func (e *Elector) BeginStop() {
	e.plannedStop.begin()
}

// EndCandidacy tells the elector that this instance ends within seconds. From then on it
// is no candidate, but follows holders until Run ends. If it is the holder, it hands
// over once an instance that is not stopping, on a machine that is not much weaker,
// follows it, and otherwise stays the holder until Run ends.
func (e *Elector) EndCandidacy() {
	e.plannedStop.endCandidacy()
}
