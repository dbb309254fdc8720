package backhttp

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// upload writes a long request and waits for its response, which may come first.
func (p *Pool) upload(ctx context.Context, c *conn, x *exchange) (*Response, error) {
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(finishTimeout)
	}
	watch := startWindowWatch(c)
	written := make(chan writeResult, 1)
	go func() {
		err := c.write(x.request)
		written <- writeResult{err: err, at: time.Now()}
	}()
	var w writeResult
	var r result
	select { // both results stay in their channels, for those who conclude the request
	case w = <-written:
		written <- w
		if w.err == nil {
			r = <-x.done
			x.done <- r
		}
	case r = <-x.done:
		x.done <- r
	}
	if w.err == nil && r.err == nil && p.mayFinishLater(c, x, r.response) && x.stopWatch() {
		r = <-x.done
		r.response.WrittenAt = time.Now()
		p.finishUpload(c, x, finishing{deadline: deadline, watch: watch, written: written})
		return r.response, nil
	}
	// A body that is streamed belongs to its caller's connection, which is free for the next
	// request only once it has been read.
	w = <-written
	tookOver := watch.stop()
	if tookOver {
		c.reusable.Store(false)
	}
	response, err := p.conclude(ctx, c, x, w)
	if tookOver && (err != nil || response.Remainder == nil) {
		c.abort()
	}
	return response, err
}

// mayFinishLater reports whether the server needs the rest of the request, and the rest is
// there without the caller.
func (p *Pool) mayFinishLater(c *conn, x *exchange, response *Response) bool {
	if !response.needsWholeRequest() {
		return false
	}
	if x.request.Remainder == nil && !c.requestWritten.Load() {
		return true
	}
	return c.writtenWhole.Load() && sockopt.Unacknowledged(c.net) > 0
}

// finishUpload delivers the rest of a request whose response has been returned. The context of
// the request, which ends with the request of the caller, does not end it.
func (p *Pool) finishUpload(c *conn, x *exchange, f finishing) {
	expiry := time.AfterFunc(time.Until(f.deadline), c.abort)
	held := int64(len(x.request.Body))
	x.holding.Charge(membudget.Uploads, held)
	p.unfinishedUploads.Add(1)
	go func() {
		defer p.unfinishedUploads.Add(-1)
		defer x.holding.Return(membudget.Uploads, held)
		w := <-f.written
		if w.err == nil {
			c.awaitDelivery()
		}
		tookOver := f.watch.stop()
		if expiry.Stop() && w.err == nil && !tookOver {
			p.put(c)
			return
		}
		c.reusable.Store(false)
		c.abort()
	}()
}

// awaitDelivery waits until the server has acknowledged everything, or the connection has ended.
func (c *conn) awaitDelivery() {
	ticker := time.NewTicker(deliveryInterval)
	defer ticker.Stop()
	for sockopt.Unacknowledged(c.net) > 0 {
		select {
		case <-ticker.C:
		case <-c.aborted:
			return
		}
	}
}
