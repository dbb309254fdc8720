package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// sendOrders sends what is due.
func (c *Coordinator) sendOrders(now time.Time) {
	if c.snapshot == nil {
		return
	}
	for _, order := range c.table.Due(now, listedIncarnations{c.snapshot}) {
		server := c.findServer(order.Life)
		if server == nil {
			c.applyResult(owners.Reply{Order: order, Outcome: owners.Unsent, Ended: now})
			continue
		}
		go func() {
			ctx, cancel := context.WithDeadline(c.ctx, order.Due.Add(orderTimeout(order)))
			reply := c.orderSender.SendOrder(ctx, *server, order)
			cancel()
			c.enqueue(func() {
				c.applyResult(reply)
				c.resultsPending = true
			})
		}()
	}
}

// findServer returns a server that is or was listed, or that an earlier holder
// recorded, or nil.
func (c *Coordinator) findServer(life fleet.Life) *fleet.Server {
	if c.snapshot != nil {
		if server := c.snapshot.Known(life); server != nil {
			return server
		}
	}
	return c.recordedServers[life]
}

// orderTimeout leaves a release the time that running work may take.
func orderTimeout(order owners.Order) time.Duration {
	if order.Action == owners.ActionRelease {
		return owners.ReleaseTimeout
	}
	return owners.OrderTimeout
}

// followUp sends the orders that follow from replies without waiting for the next tick.
func (c *Coordinator) followUp() {
	if !c.resultsPending {
		return
	}
	c.resultsPending = false
	now := time.Now()
	if c.maySendOrders(now) {
		c.sendOrders(now)
	}
	c.placer.Tick(now)
	c.publish(now)
}

func (c *Coordinator) applyResult(reply owners.Reply) {
	o := reply.Order
	reply = c.refusalTracker.Judge(reply, c.placer.Running(o.Service, o.Life.Name) == 0)
	if reply.Outcome != owners.Done || o.Action == owners.ActionRelease || o.Handover != "" {
		c.log.Emit(events.OrderEnded, "action", o.Action.String(), "service", o.Service, "from", o.From, "to", o.To,
			"server", o.Life.Name, "fence", o.Fence, "outcome", reply.Outcome.String())
	}
	if !c.table.Apply(reply) {
		c.deposed.Store(true)
	}
}
