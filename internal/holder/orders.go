package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// order sends what is due.
func (a *Actor) order(now time.Time) {
	if a.seen == nil {
		return
	}
	for _, order := range a.table.Due(now, listedIncarnations{a.seen}) {
		server := a.known(order.Life)
		if server == nil {
			a.apply(owners.Reply{Order: order, Outcome: owners.Unsent, Ended: now})
			continue
		}
		go func() {
			ctx, cancel := context.WithDeadline(a.ctx, order.Due.Add(orderTimeout(order)))
			reply := a.granter.SendOrder(ctx, *server, order)
			cancel()
			a.post(func() {
				a.apply(reply)
				a.soon = true
			})
		}()
	}
}

// known returns a server that is or was listed, or that an earlier holder
// recorded, or nil.
func (a *Actor) known(life fleet.Life) *fleet.Server {
	if a.seen != nil {
		if server := a.seen.Known(life); server != nil {
			return server
		}
	}
	return a.recorded[life]
}

// orderTimeout leaves a release the time that running work may take.
func orderTimeout(order owners.Order) time.Duration {
	if order.Action == owners.ActionRelease {
		return owners.ReleaseTimeout
	}
	return owners.OrderTimeout
}

// goOn sends the orders that follow from replies without waiting for the next tick.
func (a *Actor) goOn() {
	if !a.soon {
		return
	}
	a.soon = false
	now := time.Now()
	if a.mayOrder(now) {
		a.order(now)
	}
	a.placer.Tick(now)
	a.publish(now)
}

func (a *Actor) apply(reply owners.Reply) {
	o := reply.Order
	reply = a.refusals.Judge(reply, a.placer.Running(o.Service, o.Life.Name) == 0)
	if reply.Outcome != owners.Done || o.Action == owners.ActionRelease || o.Handover != "" {
		a.log.Emit(events.OrderEnded, "action", o.Action.String(), "service", o.Service, "from", o.From, "to", o.To,
			"server", o.Life.Name, "fence", o.Fence, "outcome", reply.Outcome.String())
	}
	if !a.table.Apply(reply) {
		a.deposed.Store(true)
	}
}
