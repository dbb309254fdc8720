package route

import (
	"sync/atomic"
)

// RangeState counts the requests of one range. Successive views share it as long
// as the range keeps its bounds.
type RangeState struct {
	// InFlight is the number of admitted requests of the range that have not ended.
	InFlight atomic.Int64
	// Requests is the number of requests of the range in this tenure of the holder.
	Requests atomic.Uint64
	// idle is sent a value when InFlight returns to 0.
	idle chan struct{}
}

// NewRangeState returns the state of a range without requests.
func NewRangeState() *RangeState {
	return &RangeState{idle: make(chan struct{}, 1)}
}

// Idle returns a channel that receives a value each time the last request in
// flight ends. A value that has not been received is not sent twice.
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
