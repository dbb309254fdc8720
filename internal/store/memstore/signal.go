package memstore

import "sync/atomic"

// signal wakes all goroutines that wait for it. The zero value is ready to use.
type signal struct {
	current atomic.Pointer[chan struct{}]
}

// wait returns a channel that the next broadcast closes.
func (s *signal) wait() <-chan struct{} {
	for {
		if current := s.current.Load(); current != nil {
			return *current
		}
		created := make(chan struct{})
		if s.current.CompareAndSwap(nil, &created) {
			return created
		}
	}
}

func (s *signal) broadcast() {
	if current := s.current.Swap(nil); current != nil {
		close(*current)
	}
}
