package publish

import "sync/atomic"

// changeNotifier announces changes of a snapshot. Readers take the channel before they
// read the snapshot and wait for the channel to be closed.
type changeNotifier struct {
	next atomic.Pointer[chan struct{}]
}

func newChangeNotifier() *changeNotifier {
	n := &changeNotifier{}
	ch := make(chan struct{})
	n.next.Store(&ch)
	return n
}

// nextChange returns a channel that is closed by the next announcement.
func (n *changeNotifier) nextChange() <-chan struct{} {
	return *n.next.Load()
}

// notify wakes all waiters. Only the goroutine that owns the state calls it.
func (n *changeNotifier) notify() {
	ch := make(chan struct{})
	close(*n.next.Swap(&ch))
}
