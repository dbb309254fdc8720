package route

import (
	"sync/atomic"
)

// RangeState counts the work of one range. It lives on through all views while
// the range keeps its bounds.
type RangeState struct {
	// InFlight counts the requests that were admitted for the range and have not ended.
	InFlight atomic.Int64
	// Requests counts all requests of the range since the holder took over.
	Requests atomic.Uint64
	// idle gets a value when InFlight returns to 0.
	idle chan struct{}
}

// NewRangeState returns the state of a range with no work.
func NewRangeState() *RangeState {
	return &RangeState{idle: make(chan struct{}, 1)}
}

// Idle returns a channel that gets a value each time the last request in flight ends.
func (s *RangeState) Idle() <-chan struct{} {
	return s.idle
}

func (s *RangeState) end() {
	if s.InFlight.Add(-1) > 0 {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}
