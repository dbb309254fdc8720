package publish

import "sync/atomic"

// notice announces changes of a snapshot. Readers take the channel before they
// read the snapshot and wait for the channel to be closed.
type notice struct {
	next atomic.Pointer[chan struct{}]
}

func newNotice() *notice {
	n := &notice{}
	ch := make(chan struct{})
	n.next.Store(&ch)
	return n
}

// wait returns a channel that is closed by the next announcement.
func (n *notice) wait() <-chan struct{} {
	return *n.next.Load()
}

// announce wakes all waiters. Only the goroutine that owns the state calls it.
func (n *notice) announce() {
	ch := make(chan struct{})
	close(*n.next.Swap(&ch))
}
