package callerhttp

import (
	"io"
	"time"

	"github.com/pkg/errors"

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
	c.stalled.Store(errors.Is(cause, errCallerStalled))
	c.requests.seal()
	c.cancel(cause)
	c.closeWrite()
	c.stopReading()
}

// closeWrite tells the caller that no further response follows. It reports whether the
// caller can still be waited for.
func (c *conn) closeWrite() bool {
	half, ok := c.net.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return false
	}
	c.writeClosed.Store(true)
	return true
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
	n := sockopt.Unacknowledged(c.net)
	if c.writeClosed.Load() {
		n-- // the end of the stream counts as a byte
	}
	return max(0, n)
}

// reportUntaken reports what the caller has not acknowledged when the server gives it up.
func (c *conn) reportUntaken() {
	if n := c.untaken(); n > 0 && c.server.OnUntaken != nil {
		c.server.OnUntaken(Untaken{Bytes: n, Waited: time.Since(c.lastResponseAt())})
	}
}

// lastResponseAt returns when the last response had been written, or when the connection was
// opened if there was none.
func (c *conn) lastResponseAt() time.Time {
	return c.openedAt.Add(time.Duration(c.lastResponse.Load()))
}

// linger ends the sending side and waits until the caller closes the connection (closeWait).
// A connection without any response has nothing to lose and needs no wait, and a caller that
// has stalled a response has had its time.
func (c *conn) linger() {
	if c.stalled.Load() {
		c.reportUntaken()
		return
	}
	if c.closedIdle && c.lastResponse.Load() == 0 || !c.closeWrite() {
		return
	}
	ignored := make([]byte, readBufferBytes)
	wait := newCloseWait(time.Now(), c.lastResponseAt(), c.untaken())
	for now := time.Now(); now.Before(wait.end()); now = time.Now() {
		if c.awaitCallerClose(earlier(wait.end(), now.Add(lingerTimeout)), ignored) {
			return
		}
		if wait.observe(time.Now(), c.untaken()) {
			c.holding.Progress()
		}
	}
	c.reportUntaken()
}

// awaitCallerClose waits until the given time for the caller to close the connection, and
// reports whether it did. Requests behind a response that has announced the close are read into
// ignored. A request that crosses an idle close stays unread, so that the caller may send it
// again.
func (c *conn) awaitCallerClose(until time.Time, ignored []byte) bool {
	_ = c.net.SetReadDeadline(until) // fails only on a closed connection, on which the read fails too
	if c.closedIdle {
		return sockopt.AwaitHangup(c.net) || time.Now().Before(until) // not a socket, so that there is nothing to wait for
	}
	_, err := c.net.Read(ignored)
	return err != nil && !isTimeout(err)
}
