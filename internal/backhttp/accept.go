package backhttp

import (
	"context"
	"time"
)

// accept ends an exchange whose server has accepted the request. What the server has not taken
// is delivered behind the response, and the connection is free only after that.
func (p *Pool) accept(ctx context.Context, c *conn, x *exchange, w writeResult, response *Response) (*Response, error) {
	if response.Remainder == nil {
		if err := x.confirm(); err != nil {
			c.reusable.Store(false)
			c.abort()
			x.transfer.end()
			response.Release()
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			return nil, &RequestError{Sent: true, WrittenAt: w.at, Cause: err}
		}
	}
	now := time.Now()
	deadline, _ := ctx.Deadline()
	d := &pendingDelivery{pool: p, conn: c, exchange: x, streamsResponse: response.Remainder != nil, wait: newDeliveryWait(now, deadline), ended: make(chan struct{})}
	if x.transfer.isDelivered() {
		d.finish()
		return response, nil
	}
	p.Deliveries.add(d)
	go d.run()
	return response, nil
}
