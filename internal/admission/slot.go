package admission

import "sync/atomic"

// Slot is the right to run one request on the server and, if it is exclusive, no other
// request beside it.
type Slot struct {
	limiter   *Limiter
	exclusive bool
	released  atomic.Bool
}

// Exclusive reports whether no other request runs on the server.
func (s *Slot) Exclusive() bool {
	return s.exclusive
}

// Release gives the slot back and reports how the request ended. Later calls have no effect.
func (s *Slot) Release(result Result) {
	if s.released.Swap(true) {
		return
	}
	s.limiter.observe(result)
	s.limiter.releaseSlot(s.exclusive)
}
