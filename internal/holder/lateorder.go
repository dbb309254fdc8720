package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// lateWrite is the time from the check of maySendOrders to the end of the write of an order
// from which on the order is logged: half of what the expiry of a grant reckons with.
const lateWrite = owners.OrderTimeout / 2

// observeWrite counts the time until an order was written, and logs the order if that was
// long. It is called for orders that end after the tenure too.
func (c *Coordinator) observeWrite(result owners.OrderResult) {
	if result.WrittenAt.IsZero() {
		return
	}
	o := result.Order
	delay := result.WrittenAt.Sub(o.CreatedAt)
	if c.onOrderWritten != nil {
		c.onOrderWritten(delay)
	}
	if delay < lateWrite {
		return
	}
	c.log.Emit(events.OrderWrittenLate, "epoch", c.epoch, "action", o.Action.String(), "service", o.Service, "from", o.From, "to", o.To,
		"server", o.Server.Name, "start_ms", o.Server.StartMS, "fence", o.Fence, "checked_at", o.CreatedAt.UTC().Format(time.RFC3339Nano),
		"written_ms", delay.Milliseconds(), "ended_ms", result.Ended.Sub(o.CreatedAt).Milliseconds(), "outcome", result.Outcome.String())
}
