package backhttp

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// limitDelivery sets how long the kernel may try to deliver the bytes of the request.
func (c *conn) limitDelivery(ctx context.Context, request *Request) error {
	limit := unackedTimeout
	if deadline, limited := ctx.Deadline(); limited && request.EndWithDeadline {
		limit = min(limit, time.Until(deadline))
	}
	if limit == c.deliveryTimeout {
		return nil
	}
	c.deliveryTimeout = limit
	return sockopt.SetUserTimeout(c.net, limit)
}
