package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// emitLease logs an event of this tenure's lease: for how long the lease has not been
// confirmed, and whether the holder sends orders to servers.
func (c *Coordinator) emitLease(e events.Event, fields ...any) {
	fields = append(fields, "epoch", c.epoch, "unconfirmed_ms", c.unconfirmedFor(time.Now()).Milliseconds(), "sends_orders", c.isSendingOrders())
	c.log.Emit(e, fields...)
}

// confirmLease records that the lease was held by this process at the given time.
func (c *Coordinator) confirmLease(at time.Time) {
	c.lastConfirmedAt.Store(&at)
	c.leaseConfirmedAt.Store(&at)
}

// unconfirmedFor returns for how long the lease has not been confirmed. Unlike
// lastLeaseConfirmation it counts from the last confirmation also if that must be repeated.
func (c *Coordinator) unconfirmedFor(now time.Time) time.Duration {
	if at := c.lastConfirmedAt.Load(); at != nil {
		return now.Sub(*at)
	}
	return now.Sub(c.startedAt)
}

// isSendingOrders reports whether the holder sent orders when it checked that last.
func (c *Coordinator) isSendingOrders() bool {
	return c.sendsOrders.Load() && c.ctx.Err() == nil
}

// noteEnd records why the tenure ends, unless an earlier reason is recorded.
func (c *Coordinator) noteEnd(r endReason) {
	c.endReason.CompareAndSwap(0, uint32(r))
}

// supersede ends the tenure because of evidence of another holder.
func (c *Coordinator) supersede(evidence endReason) {
	c.noteEnd(evidence)
	c.superseded.Store(true)
}
