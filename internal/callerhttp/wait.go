package callerhttp

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// await waits until an earlier request has come so far that the channel is closed, or the caller
// has disconnected.
func (c *conn) await(earlier chan struct{}) {
	select {
	case <-earlier:
		return
	default:
	}
	defer c.watchHangup()()
	select {
	case <-earlier:
	case <-c.ctx.Done():
	}
}

// acquireSlot waits until another request may run concurrently. It returns false if the
// caller has disconnected.
func (c *conn) acquireSlot() bool {
	select {
	case c.pipelineSlots <- struct{}{}:
	default:
		defer c.watchHangup()()
		select {
		case c.pipelineSlots <- struct{}{}:
		case <-c.ctx.Done():
			return false
		}
	}
	if c.ctx.Err() != nil {
		<-c.pipelineSlots
		return false
	}
	return true
}

// watchHangup cancels the requests in progress when the caller disconnects, until the
// returned function is called. It is for times at which nothing is read.
func (c *conn) watchHangup() (stop func()) {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if sockopt.AwaitHangup(c.net) {
			c.cancel(nil)
		}
	}()
	return func() {
		c.interruptRead()
		<-watched
		c.setReadDeadline(time.Time{})
	}
}
