package backhttp

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// upload writes a long request and waits for its response, which may come first.
func (p *Pool) upload(ctx context.Context, c *conn, x *exchange) (*Response, error) {
	written := make(chan error, 1)
	go func() { written <- c.write(x.request) }()
	select {
	case err := <-written:
		return p.conclude(ctx, c, x, err)
	case r := <-x.done:
		// A body that is streamed belongs to its caller's connection, which is free for the
		// next request only once it has been read.
		if r.err != nil || !r.response.needsWholeRequest() || x.request.Remainder != nil || !x.stopWatch() {
			x.done <- r
			return p.conclude(ctx, c, x, <-written)
		}
		r.response.WrittenAt = time.Now()
		p.finishUpload(ctx, c, x, written)
		return r.response, nil
	}
}

// finishUpload writes the rest of a request whose response has been returned, until the
// deadline of ctx. ctx itself ends with the request of the caller, which no longer matters.
func (p *Pool) finishUpload(ctx context.Context, c *conn, x *exchange, written <-chan error) {
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(finishTimeout)
	}
	expiry := time.AfterFunc(time.Until(deadline), c.abort)
	held := int64(len(x.request.Body))
	x.holding.Charge(membudget.Uploads, held)
	p.unfinishedUploads.Add(1)
	go func() {
		defer p.unfinishedUploads.Add(-1)
		defer x.holding.Return(membudget.Uploads, held)
		err := <-written
		if expiry.Stop() && err == nil {
			p.put(c)
			return
		}
		c.reusable.Store(false)
		c.abort()
	}()
}
