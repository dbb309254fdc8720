package callerhttp

import (
	"io"
	"time"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// finishRequest ends a request in progress. After the last one of the connection nothing
// more is read.
func (c *conn) finishRequest() {
	c.lastResponse.Store(int64(time.Since(c.openedAt)))
	if c.requests.finish() {
		c.stopReading()
	}
}

// breakOff ends the connection after a response that is incomplete or missing. The
// requests behind it can't be answered any more and are cancelled with the given cause.
func (c *conn) breakOff(cause error) {
	c.broken.Store(true)
	c.requests.seal()
	c.cancel(cause)
	c.closeWrite()
	c.stopReading()
}

// closeWrite tells the caller that no further response follows. It reports whether the
// caller can still be waited for.
func (c *conn) closeWrite() bool {
	half, ok := c.net.(halfCloser)
	return ok && half.CloseWrite() == nil
}

// stopReading ends the reading of requests.
func (c *conn) stopReading() {
	c.ending.Store(true)
	c.interruptRead()
}

// interruptRead ends a pending read of the goroutine that reads requests.
func (c *conn) interruptRead() {
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// discardInput ignores what the caller sends until the last response has been written. It
// cancels the requests in progress when the caller disconnects.
func (c *conn) discardInput() {
	c.setReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.net) // ends with the connection, or when the read is interrupted
	if !c.ending.Load() {
		c.cancel(nil)
	}
}

// untaken returns how many bytes of responses the caller has not acknowledged.
func (c *conn) untaken() int {
	return sockopt.Unacknowledged(c.net)
}

// reportUntaken reports what the caller has not acknowledged before the connection is closed.
func (c *conn) reportUntaken() {
	if n := c.untaken(); n > 0 && c.server.OnUntaken != nil {
		c.server.OnUntaken(Untaken{Bytes: n, Waited: time.Since(c.openedAt) - time.Duration(c.lastResponse.Load())})
	}
}

// linger waits until the caller closes the connection. Closing a connection with
// unread bytes would reset it, and the caller could lose the last response. A connection
// that was idle, and whose last response has arrived, needs no wait: a request that crosses
// its close stays unread, so that the caller may send it again.
func (c *conn) linger() {
	if c.closedIdle && sockopt.Unacknowledged(c.net) == 0 || !c.closeWrite() {
		return
	}
	end := time.Now().Add(lingerLimit)
	ignored := make([]byte, readBufferBytes)
	for time.Now().Before(end) {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection, on which the read fails too
		if _, err := c.net.Read(ignored); err != nil {
			return
		}
	}
}
