package admission

import "sync/atomic"

// arrivals is a lock-free stack to which many requests push and from which the
// dispatcher takes everything at once.
type arrivals struct {
	head atomic.Pointer[waiter]
}

func (a *arrivals) push(w *waiter) {
	for {
		head := a.head.Load()
		w.next = head
		if a.head.CompareAndSwap(head, w) {
			return
		}
	}
}

// takeAll empties the stack and returns its newest waiter, linked by next.
func (a *arrivals) takeAll() *waiter {
	return a.head.Swap(nil)
}
