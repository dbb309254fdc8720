package holder

import (
	"context"
	"sync/atomic"
	"time"
)

// plannedStop is the state of the planned stop of this instance. While an instance
// stops, it finishes requests for seconds, and needs the holder for them.
type plannedStop struct {
	// begun is done once the planned stop has begun.
	begun context.Context
	begin context.CancelFunc
	// handOverAt is from when on this instance, if it is the holder, may hand over. It is
	// nil until the planned stop has begun.
	handOverAt atomic.Pointer[time.Time]
}

func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// hasBegun reports whether the planned stop has begun.
func (s *plannedStop) hasBegun() bool {
	return s.begun.Err() != nil
}

// handOverDue reports whether this instance may hand over at now.
func (s *plannedStop) handOverDue(now time.Time) bool {
	at := s.handOverAt.Load()
	return at != nil && !now.Before(*at)
}

// BeginStop begins the planned stop: from now on this instance is not a candidate, but
// follows holders until Run ends. If it is the holder, it hands over from handOverAt on
// once there is a candidate on a machine that is not much weaker, and otherwise stays
// the holder until Run ends.
func (e *Elector) BeginStop(handOverAt time.Time) {
	e.plannedStop.handOverAt.Store(&handOverAt)
	e.plannedStop.begin()
}
