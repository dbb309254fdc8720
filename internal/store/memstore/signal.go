package memstore

import "sync/atomic"

// signal wakes everyone who waits. Its zero value is ready for use.
type signal struct {
	current atomic.Pointer[chan struct{}]
}

// wait returns the channel that the next broadcast closes.
func (s *signal) wait() <-chan struct{} {
	for {
		if current := s.current.Load(); current != nil {
			return *current
		}
		fresh := make(chan struct{})
		if s.current.CompareAndSwap(nil, &fresh) {
			return fresh
		}
	}
}

func (s *signal) broadcast() {
	if current := s.current.Swap(nil); current != nil {
		close(*current)
	}
}
