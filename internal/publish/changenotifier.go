package publish

import "sync/atomic"

// changeNotifier notifies readers of changes of a snapshot. A reader takes the channel before
// it reads the snapshot, so that no change is missed, and waits for the channel to be closed.
type changeNotifier struct {
	next atomic.Pointer[chan struct{}]
}

func newChangeNotifier() *changeNotifier {
	n := &changeNotifier{}
	ch := make(chan struct{})
	n.next.Store(&ch)
	return n
}

// nextChange returns a channel that is closed by the next call of notify.
func (n *changeNotifier) nextChange() <-chan struct{} {
	return *n.next.Load()
}

// notify wakes all waiting readers. Only the goroutine that owns the state calls it.
func (n *changeNotifier) notify() {
	ch := make(chan struct{})
	close(*n.next.Swap(&ch))
}
