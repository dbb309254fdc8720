package admission

import "sync/atomic"

// arrivals is a lock-free stack of the waiters that have arrived. Many requests push to
// it, and the dispatcher takes all of them at once.
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

// takeAll empties the stack and returns its newest waiter; next links the older ones.
func (a *arrivals) takeAll() *waiter {
	return a.head.Swap(nil)
}
