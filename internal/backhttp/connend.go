package backhttp

import "peridotmoor.org/peridotmoor/internal/sockopt"

// abort resets the connection (see sockopt.ResetOnClose), which discards bytes that have
// not been delivered. When it returns, the kernel sends no more of them, even if another
// goroutine aborts the connection: that one may have been interrupted in between.
func (c *conn) abort() {
	c.end(false)
}

// abortBecause aborts the connection for the given reason.
func (c *conn) abortBecause(cause error) {
	c.cause.CompareAndSwap(nil, &cause)
	c.abort()
}

// abortCause returns why the connection was aborted.
func (c *conn) abortCause() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return errServerReset
}

// retire closes a connection on which everything has been delivered, in order: after a reset some
// systems drop what the server has received and not read yet. It resets the connection if a
// request has begun on it meanwhile.
func (c *conn) retire() {
	c.end(true)
}

func (c *conn) end(inOrder bool) {
	if c.closed.Swap(true) {
		<-c.released
		return
	}
	c.unacknowledged = sockopt.Unacknowledged(c.net)
	c.closeAborted()
	if inOrder && c.pending.Load() == nil {
		sockopt.SetLinger(c.net, -1)
	}
	_ = c.net.Close() // the connection is abandoned; an error needs no handling
	close(c.released)
}

// undelivered returns how many bytes that were written to the connection the server has not
// acknowledged, or had not when the connection was closed.
func (c *conn) undelivered() int {
	n := sockopt.Unacknowledged(c.net) // 0 if the connection is closed
	if c.closed.Load() {
		<-c.released
		return c.unacknowledged
	}
	return n
}

// endAfterDelivery ends a connection that carries no more responses, once nothing that was
// accepted is due: a server may end its side, or send too much, and still read.
func (c *conn) endAfterDelivery() {
	if c.due == nil || c.pending.Load() != nil || sockopt.DeliveryOf(c.net).Ended {
		c.abort()
		return
	}
	select {
	case <-c.due.settled:
		c.retire()
	case <-c.aborted:
		c.abort() // waits until the kernel has given it up
	}
}
