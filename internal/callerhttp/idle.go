package callerhttp

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// awaitFirstByte waits for the next request and reports whether one has begun. When
// the caller disconnects meanwhile, the requests in progress are cancelled.
func (c *conn) awaitFirstByte() bool {
	began := time.Now()
	for {
		closeRequested := c.requests.closeRequested()
		if closeRequested {
			<-c.interrupted
			if !c.hasUnread() {
				c.closedIdle = true
				return false
			}
			began = time.Now() // the read needs a deadline that has not passed
		}
		c.setReadDeadline(c.idleDeadline(began))
		if !closeRequested && c.requests.closeRequested() {
			continue // the interruption may have come before the deadline was set
		}
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			if c.requests.beginReading() {
				<-c.interrupted // must not interrupt the reading of the request
			}
			return true
		case c.ending.Load():
			return false
		case !isTimeout(err):
			c.cancel(nil)
			return false
		case c.requests.closeRequested(), c.requests.inProgress() > 0, time.Now().Before(c.idleDeadline(began)):
		case c.hasUnread():
			began = time.Now() // as above
		case c.takesResponses():
			began = time.Now() // the caller is not idle: it reads
		default:
			c.closedIdle = true
			return false
		}
	}
}

// idleDeadline returns when the connection, which waits for a request since began, has been
// idle for too long: the idle timeout after the last response, or after now while a request
// is in progress.
func (c *conn) idleDeadline(began time.Time) time.Time {
	since := time.Now()
	if c.requests.inProgress() == 0 {
		since = c.lastResponseAt()
		if since.Before(began) {
			since = began
		}
	}
	return since.Add(c.server.limits().withDefaults().IdleTimeout)
}

// hasUnread reports whether a part of a request waits to be read. A read that timed out
// does not tell, since data may have arrived before the goroutine could run.
func (c *conn) hasUnread() bool {
	return c.reader.Buffered() > 0 || sockopt.HasUnread(c.net)
}

// takesResponses reports whether the caller has acknowledged some of the responses since the
// last look, or may still do so.
func (c *conn) takesResponses() bool {
	now := time.Now()
	return c.delivery.observe(now, c.untaken()) || c.delivery.inProgress(now)
}

// closeIdle closes the connection if no request is in progress or arriving and the caller has
// acknowledged all responses. The goroutine that reads requests does so itself, as it alone
// knows whether it has read something.
func (c *conn) closeIdle() {
	if !c.requests.isIdle() || c.untaken() > 0 {
		return // a request that arrives while the caller reads is answered
	}
	if c.requests.requestClose() {
		c.interruptRead()
		close(c.interrupted)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
