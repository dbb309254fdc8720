package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// sendOrders sends the orders that are due. Each call runs in a goroutine of its own.
func (c *Coordinator) sendOrders(now time.Time) {
	if c.snapshot == nil {
		return
	}
	if c.orderContext == nil {
		c.orderContext, c.cancelOrders = context.WithCancel(c.ctx)
	}
	parent := c.orderContext
	sendBy := c.mayActAt.Add(orderSendTimeout - time.Since(now))
	for _, order := range c.table.TakeDueOrders(now, listedIncarnations{c.snapshot}) {
		order.SendBy = sendBy
		server := c.findServer(order.Server)
		if server == nil {
			c.applyResult(owners.OrderResult{Order: order, Outcome: owners.OutcomeUnsent, Ended: now})
			continue
		}
		c.orderCalls.Go(func() {
			ctx, cancel := context.WithDeadline(parent, order.CreatedAt.Add(orderTimeout(order)))
			result := c.orderSender.SendOrder(ctx, *server, order)
			cancel()
			c.observeWrite(result)
			c.enqueue(func() {
				c.applyResult(result)
				c.resultsPending = true
			})
		})
	}
}

// abortOrders ends the orders in progress. After a suspension of the machine their
// deadlines, which did not count it, are still to come, and the kernel would go on sending them.
func (c *Coordinator) abortOrders() {
	if c.cancelOrders != nil {
		c.cancelOrders()
	}
	c.orderContext, c.cancelOrders = nil, nil
}

// findServer returns a server that is or was listed, or that the record of an
// earlier holder contains, or nil.
func (c *Coordinator) findServer(incarnation fleet.Incarnation) *fleet.Server {
	if c.snapshot != nil {
		if server := c.snapshot.FindIncarnation(incarnation); server != nil {
			return server
		}
	}
	return c.recordedServers[incarnation]
}

// orderTimeout returns the time limit of an order. A release gets longer, since the
// server responds only after the requests that it is running for these keys.
func orderTimeout(order owners.Order) time.Duration {
	if order.Action == owners.ActionRelease {
		return owners.ReleaseTimeout
	}
	return owners.OrderTimeout
}

// followUpCost is about what following up takes for each listed server. Most results are those
// of renewals, of which 1,670 servers with keys answer 1,850 a second.
const followUpCost = 200 * time.Nanosecond

// followUp sends the orders that follow from results without waiting for the next tick, unless
// that would take more than a tenth of the event loop's time.
func (c *Coordinator) followUp() {
	if !c.resultsPending {
		return
	}
	now := time.Now()
	if c.snapshot != nil && now.Sub(c.followedUpAt) < 10*followUpCost*time.Duration(len(c.snapshot.Servers)) {
		return // with a later event, or the next tick
	}
	c.resultsPending, c.followedUpAt = false, now
	c.storeRecord(now) // moves whose previous owner has confirmed its grant
	if c.maySendOrders(now) {
		c.sendOrders(now)
	}
	c.scheduler.Tick(now)
	c.publish(now)
}

// applyResult updates the owner table. A result that shows a higher fence means that
// there is another holder.
func (c *Coordinator) applyResult(result owners.OrderResult) {
	o := result.Order
	if result.Outcome != owners.OutcomeDone || o.Action == owners.ActionRelease || o.Handover != "" {
		c.log.Emit(events.OrderEnded, "action", o.Action.String(), "service", o.Service, "from", o.From, "to", o.To,
			"server", o.Server.Name, "fence", o.Fence, "outcome", result.Outcome.String(), "late", result.Expired)
	}
	if !c.table.Apply(result) {
		c.supersede(endHigherFence)
	}
}
