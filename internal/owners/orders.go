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
		for _, r := range ranges {
			if order, ok := t.nextOrder(now, service, r, incarnations); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (t *Table) nextOrder(now time.Time, service string, r *rangeState, incarnations IncarnationLookup) (Order, bool) {
	if r.phase == PhaseReleasing && !t.hasGrantInFlight(service, r.previous.Server, r.Interval) {
		t.releaseIfEnded(now, service, r, incarnations)
	}
	if r.phase == PhaseReleasing && t.hasGrantInFlight(service, r.previous.Server, r.Interval) {
		return Order{}, false
	}
	if r.orderInFlight || now.Before(r.nextOrderAt) || r.owner.Name == "" {
		return Order{}, false
	}
	order := Order{Service: service, Interval: r.Interval, version: r.version}
	switch r.phase {
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
		if expiry := grantExpiry(now.Add(OrderTimeout), t.grantDuration); expiry.After(r.expiresBy) {
			r.expiresBy = expiry
		}
	default:
		return Order{}, false
	}
	t.ordersInFlight[order.Server]++
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
		previous.Fence = t.nextFence()
		order.Action, order.Fence, order.GrantDuration = ActionGrant, previous.Fence, t.grantDuration
		order.AnswerMustBeOwn = true
		order.previousExpiry = previous.ExpiresBy
		if expiry := grantExpiry(now.Add(OrderTimeout), t.grantDuration); expiry.After(previous.ExpiresBy) {
			previous.ExpiresBy = expiry
		}
		return
	}
	order.Action, order.Fence, order.AnswerMustBeOwn = ActionRelease, previous.Fence, true
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

// releaseIfEnded continues a move without an answer of the previous owner if its
// grant has expired or a later incarnation of it is listed. The list of a new holder may
// be older than the record that names the owner.
func (t *Table) releaseIfEnded(now time.Time, service string, r *rangeState, incarnations IncarnationLookup) {
	current, listed := incarnations.Current(service, r.previous.Server.Name)
	restarted := listed && r.previous.Server.StartMS != 0 && current.StartMS > r.previous.Server.StartMS
	if restarted && !r.previous.Ambiguous || now.After(r.previous.ExpiresBy) {
		t.finishRelease(r, r.handover)
	}
}

func (t *Table) finishRelease(r *rangeState, handover string) {
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
