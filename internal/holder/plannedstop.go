package holder

import "context"

// plannedStop tells whether this instance stops so soon that it should not be the
// holder. Until then, a stopping instance can be the holder as any other.
type plannedStop struct {
	// begun is done once that is so.
	begun context.Context
	begin context.CancelFunc
}

func newPlannedStop() plannedStop {
	var s plannedStop
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// hasBegun reports whether this instance stops soon.
func (s plannedStop) hasBegun() bool {
	return s.begun.Err() != nil
}

// BeginStop tells the elector that this instance stops within seconds. From then on it
// is no candidate, but follows holders until Run ends. If it is the holder, it hands
// over once there is a candidate on a machine that is not much weaker, and otherwise
// stays the holder until Run ends.
func (e *Elector) BeginStop() {
	e.plannedStop.begin()
}
