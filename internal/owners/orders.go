package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// IncarnationLookup tells which life of a server is listed now.
type IncarnationLookup interface {
	// Current returns the listed life of the server, and false when it is not listed.
	Current(service, name string) (fleet.Incarnation, bool)
}

// Due returns the orders to send now and marks them as under way.
func (t *Table) Due(now time.Time, lives IncarnationLookup) []Order {
	var orders []Order
	for service, spans := range t.services {
		for _, s := range spans {
			if order, ok := t.nextOrder(now, service, s, lives); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (t *Table) nextOrder(now time.Time, service string, s *rangeState, lives IncarnationLookup) (Order, bool) {
	if s.phase == PhaseReleasing && !t.hasGrantInFlight(service, s.previous.Server, s.Interval) {
		t.releaseIfEnded(now, service, s, lives)
	}
	if s.phase == PhaseReleasing && t.hasGrantInFlight(service, s.previous.Server, s.Interval) {
		return Order{}, false
	}
	if s.orderInFlight || now.Before(s.nextOrderAt) || s.owner.Name == "" {
		return Order{}, false
	}
	order := Order{Service: service, Interval: s.Interval, version: s.version}
	switch s.phase {
	case PhaseReleasing:
		if t.ordersInFlight[s.previous.Server] >= maxOrdersInFlight {
			return Order{}, false
		}
		t.prepareRelease(now, s, &order)
	case PhaseGranting, PhaseHeld:
		if t.ordersInFlight[s.owner] >= maxOrdersInFlight {
			return Order{}, false
		}
		order.Action, order.Server, order.Fence = ActionGrant, s.owner, s.fence
		order.GrantDuration, order.Handover = t.grantDuration, s.handover
		order.previousExpiry = s.expiresBy
		if until := grantExpiry(now.Add(OrderTimeout), t.grantDuration); until.After(s.expiresBy) {
			s.expiresBy = until
		}
	default:
		return Order{}, false
	}
	t.ordersInFlight[order.Server]++
	s.orderInFlight = true
	t.orderCount++
	order.number = t.orderCount
	order.CreatedAt = now
	if order.Action == ActionGrant {
		t.grantsInFlight[order.Server] = append(t.grantsInFlight[order.Server], order)
	}
	return order, true
}

// prepareRelease asks the last owner for the range. While an earlier grant to it may
// still take effect, a grant under a higher fence goes first, which makes that
// one void.
func (t *Table) prepareRelease(now time.Time, s *rangeState, order *Order) {
	previous := s.previous
	order.Server = previous.Server
	if previous.supersedingGrants >= maxSupersedingGrants {
		previous.ExpiryOnly = true // each further grant would only prolong the hold
	}
	if now.Before(previous.UnansweredUntil) && !previous.ExpiryOnly {
		previous.supersedingGrants++
		previous.Fence = t.nextFence()
		order.Action, order.Fence, order.GrantDuration = ActionGrant, previous.Fence, t.grantDuration
		order.previousExpiry = previous.ExpiresBy
		if until := grantExpiry(now.Add(OrderTimeout), t.grantDuration); until.After(previous.ExpiresBy) {
			previous.ExpiresBy = until
		}
		return
	}
	order.Action, order.Fence = ActionRelease, previous.Fence
}

// hasGrantInFlight reports whether a grant of some of the keys is on its way to the
// server. A release that overtook it would be undone.
func (t *Table) hasGrantInFlight(service string, life fleet.Incarnation, i Interval) bool {
	for _, o := range t.grantsInFlight[life] {
		if o.Service == service && o.From <= i.To && o.To >= i.From {
			return true
		}
	}
	return false
}

// releaseIfEnded lets a move go on without the last owner's answer once its hold
// has ended or another life of it is listed.
func (t *Table) releaseIfEnded(now time.Time, service string, s *rangeState, lives IncarnationLookup) {
	life, listed := lives.Current(service, s.previous.Server.Name)
	reborn := listed && life != s.previous.Server && s.previous.Server.StartMS != 0
	if reborn && !s.previous.Ambiguous || now.After(s.previous.ExpiresBy) {
		t.finishRelease(s, s.handover)
	}
}

func (t *Table) finishRelease(s *rangeState, handover string) {
	s.previous = nil
	s.handover = handover
	s.phase = PhaseGranting
	s.nextOrderAt = time.Time{}
	s.orderInFlight = false
	s.fence = t.nextFence()
	s.version = t.newPlanVersion()
}

// SetGrantDuration changes the length of later grants.
func (t *Table) SetGrantDuration(hold time.Duration) {
	t.grantDuration = hold
}
