package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// IncarnationLookup finds the listed incarnation of a server.
type IncarnationLookup interface {
	// Current returns the listed incarnation of the server, and false when it is not listed.
	Current(service, name string) (fleet.Incarnation, bool)
}

// TakeDueOrders returns the orders to send now and marks them as in flight.
func (t *Table) TakeDueOrders(now time.Time, incarnations IncarnationLookup) []Order {
	var orders []Order
	for service, ranges := range t.services {
		orders = append(orders, t.takeLimited(service, ranges, func(r *rangeState) (Order, bool) { return t.nextOrder(now, service, r, incarnations) })...)
	}
	return orders
}

func (t *Table) nextOrder(now time.Time, service string, r *rangeState, incarnations IncarnationLookup) (Order, bool) {
	if r.phase == PhaseConfirming && hasRestarted(service, r.previous.Server, incarnations) {
		t.endConfirmation(r) // the new process must not be granted what it is about to lose
	}
	if r.phase == PhaseReleasing && !t.hasGrantInFlight(service, r.previous.Server, r.Interval) {
		t.releaseIfEnded(now, service, r, incarnations)
	}
	if (r.phase == PhaseReleasing || r.phase == PhaseConfirming) && t.hasGrantInFlight(service, r.previous.Server, r.Interval) {
		return Order{}, false
	}
	if r.orderInFlight || now.Before(r.nextOrderAt) || r.owner.Name == "" {
		return Order{}, false
	}
	order := Order{Service: service, Interval: r.Interval, version: r.version}
	switch r.phase {
	case PhaseConfirming:
		if t.ordersInFlight[r.previous.Server] >= maxOrdersInFlight {
			return Order{}, false
		}
		order.Server = r.previous.Server
		t.prepareSupersedingGrant(now, r.previous, &order)
	case PhaseReleasing:
		if t.ordersInFlight[r.previous.Server] >= maxOrdersInFlight {
			return Order{}, false
		}
		t.prepareRelease(now, r, &order)
	case PhaseGranting, PhaseHeld:
		if t.ordersInFlight[r.owner] >= maxOrdersInFlight {
			return Order{}, false
		}
		order.Action, order.Server, order.Fence = ActionGrant, r.owner, r.fence
		order.GrantDuration, order.Handover = t.grantDuration, r.handover
		order.previousExpiry = r.expiresBy
		r.expiresBy = later(r.expiresBy, grantExpiry(now.Add(OrderTimeout), t.grantDuration))
		order.assumedExpiry = r.expiresBy
	default:
		return Order{}, false
	}
	t.ordersInFlight[order.Server]++
	t.ordersUnderWay++
	r.orderInFlight = true
	t.orderCount++
	order.number = t.orderCount
	order.CreatedAt = now
	if order.Action == ActionGrant {
		t.grantsInFlight[order.Server] = append(t.grantsInFlight[order.Server], order)
	}
	return order, true
}

// prepareRelease makes the order that asks the previous owner to release the range.
// While an unanswered grant to it may still take effect, the order is instead a
// grant with a higher fence, which invalidates the unanswered one.
func (t *Table) prepareRelease(now time.Time, r *rangeState, order *Order) {
	previous := r.previous
	order.Server = previous.Server
	if previous.supersedingGrants >= maxSupersedingGrants {
		previous.ExpiryOnly = true // another grant would only postpone the expiry
	}
	if now.Before(previous.UnansweredUntil) && !previous.ExpiryOnly {
		previous.supersedingGrants++
		t.prepareSupersedingGrant(now, previous, order)
		return
	}
	order.Action, order.Fence, order.AnswerMustBeOwn = ActionRelease, previous.Fence, true
}

// prepareSupersedingGrant makes the order a grant to the previous owner with a higher fence,
// which invalidates all earlier grants once the server has answered it.
func (t *Table) prepareSupersedingGrant(now time.Time, previous *Grant, order *Order) {
	previous.Fence = t.nextFence()
	order.Action, order.Fence, order.GrantDuration = ActionGrant, previous.Fence, t.grantDuration
	order.AnswerMustBeOwn = true
	order.previousExpiry = previous.ExpiresBy
	previous.ExpiresBy = later(previous.ExpiresBy, grantExpiry(now.Add(OrderTimeout), t.grantDuration))
	order.assumedExpiry = previous.ExpiresBy
}

// hasGrantInFlight reports whether a grant of any of the keys is in flight to the
// server. Such a grant would undo a release that arrived before it.
func (t *Table) hasGrantInFlight(service string, server fleet.Incarnation, i Interval) bool {
	for _, o := range t.grantsInFlight[server] {
		if o.Service == service && o.From <= i.To && o.To >= i.From {
			return true
		}
	}
	return false
}

// releaseIfEnded continues a move without an answer of the previous owner if its grant
// has expired. A grant names no incarnation: if a later one of the previous owner is listed,
// the last grants may have reached that one, which must release the range in its place,
// unless it is to get the range itself. An earlier one shows only that the list is older than
// the record, as that of a new holder may be.
func (t *Table) releaseIfEnded(now time.Time, service string, r *rangeState, incarnations IncarnationLookup) {
	previous := r.previous
	restarted := hasRestarted(service, previous.Server, incarnations)
	current, _ := incarnations.Current(service, previous.Server.Name)
	switch {
	case now.After(previous.ExpiresBy):
		end := GrantExpired
		if previous.processEnded {
			end = GrantServerEnded
		}
		t.finishRelease(service, r, end, now, r.handover)
	case !restarted || previous.Ambiguous:
	case r.owner.Name == current.Name:
		r.expiresBy = later(r.expiresBy, previous.ExpiresBy)
		r.unansweredUntil = later(r.unansweredUntil, previous.UnansweredUntil)
		t.finishRelease(service, r, GrantServerRestarted, now, r.handover)
	default:
		t.releaseFrom(r, current)
	}
}

// hasRestarted reports whether a later incarnation of the server is listed.
func hasRestarted(service string, server fleet.Incarnation, incarnations IncarnationLookup) bool {
	current, listed := incarnations.Current(service, server.Name)
	return listed && current.StartMS > server.StartMS && server.StartMS != 0
}

// releaseFrom makes a new process of the previous owner release the range. Only the first
// one gets superseding grants of its own: each of them postpones the expiry, without end if
// the server is restarted again and again and answers none.
func (t *Table) releaseFrom(r *rangeState, restarted fleet.Incarnation) {
	previous := r.previous
	previous.Server = restarted
	if previous.supersedingGrants >= maxSupersedingGrants && !previous.restarted {
		previous.supersedingGrants, previous.ExpiryOnly = 0, false // the old process did not answer them
	}
	previous.restarted = true
	r.version = t.newPlanVersion()
	r.orderInFlight, r.nextOrderAt = false, time.Time{}
}

func (t *Table) finishRelease(service string, r *rangeState, end GrantEnd, at time.Time, handover string) {
	t.noteEnd(service, r, end, at)
	r.previous = nil
	r.handover = handover
	r.phase = PhaseGranting
	r.nextOrderAt = time.Time{}
	r.orderInFlight = false
	r.fence = t.nextFence()
	r.version = t.newPlanVersion()
}

// SetGrantDuration sets the duration of grants made from now on.
func (t *Table) SetGrantDuration(duration time.Duration) {
	t.grantDuration = duration
}
