package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Lives tells which life of a server is listed now.
type Lives interface {
	// Current returns the listed life of the server, and false when it is not listed.
	Current(service, name string) (fleet.Life, bool)
}

// Due returns the orders to send now and marks them as under way.
func (t *Table) Due(now time.Time, lives Lives) []Order {
	var orders []Order
	for service, spans := range t.services {
		for _, s := range spans {
			if order, ok := t.due(now, service, s, lives); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (t *Table) due(now time.Time, service string, s *span, lives Lives) (Order, bool) {
	if s.phase == PhaseReleasing && !t.granting(service, s.previous.Life, s.Interval) {
		t.endPrevious(now, service, s, lives)
	}
	if s.phase == PhaseReleasing && t.granting(service, s.previous.Life, s.Interval) {
		return Order{}, false
	}
	if s.busy || now.Before(s.nextAt) || s.owner.Name == "" {
		return Order{}, false
	}
	order := Order{Service: service, Interval: s.Interval, version: s.version}
	switch s.phase {
	case PhaseReleasing:
		if t.underway[s.previous.Life] >= ordersAtOnce {
			return Order{}, false
		}
		t.takeBack(now, s, &order)
	case PhaseGranting, PhaseHeld:
		if t.underway[s.owner] >= ordersAtOnce {
			return Order{}, false
		}
		order.Action, order.Life, order.Fence = ActionGrant, s.owner, s.fence
		order.Hold, order.Handover = t.holdFor, s.handover
		order.before = s.until
		if until := holdEnd(now.Add(OrderTimeout), t.holdFor); until.After(s.until) {
			s.until = until
		}
	default:
		return Order{}, false
	}
	t.underway[order.Life]++
	s.busy = true
	t.orders++
	order.number = t.orders
	order.Due = now
	if order.Action == ActionGrant {
		t.flying[order.number] = order
	}
	return order, true
}

// takeBack asks the last owner for the range. While an earlier grant to it may
// still take effect, a grant under a higher fence goes first, which makes that
// one void.
func (t *Table) takeBack(now time.Time, s *span, order *Order) {
	previous := s.previous
	order.Life = previous.Life
	if previous.voids >= voidsAtMost {
		previous.WaitOut = true // each further grant would only prolong the hold
	}
	if now.Before(previous.LateUntil) && !previous.WaitOut {
		previous.voids++
		previous.Fence = t.nextFence()
		order.Action, order.Fence, order.Hold = ActionGrant, previous.Fence, t.holdFor
		order.before = previous.Until
		if until := holdEnd(now.Add(OrderTimeout), t.holdFor); until.After(previous.Until) {
			previous.Until = until
		}
		return
	}
	order.Action, order.Fence = ActionRelease, previous.Fence
}

// granting reports whether a grant of some of the keys is on its way to the
// server. A release that overtook it would be undone.
func (t *Table) granting(service string, life fleet.Life, i Interval) bool {
	for _, o := range t.flying {
		if o.Service == service && o.Life == life && o.From <= i.To && o.To >= i.From {
			return true
		}
	}
	return false
}

// endPrevious lets a move go on without the last owner's answer once its hold
// has ended or another life of it is listed.
func (t *Table) endPrevious(now time.Time, service string, s *span, lives Lives) {
	life, listed := lives.Current(service, s.previous.Life.Name)
	reborn := listed && life != s.previous.Life && s.previous.Life.Born != 0
	if reborn || now.After(s.previous.Until) {
		t.released(s, s.handover)
	}
}

func (t *Table) released(s *span, handover string) {
	s.previous = nil
	s.handover = handover
	s.phase = PhaseGranting
	s.nextAt = time.Time{}
	s.busy = false
	s.fence = t.nextFence()
	s.version = t.change()
}

// Apply takes note of the end of an order's call. It returns false when a higher
// fence shows that another instance has become the holder.
func (t *Table) Apply(reply Reply) bool {
	o := reply.Order
	delete(t.flying, o.number)
	if t.underway[o.Life]--; t.underway[o.Life] <= 0 {
		delete(t.underway, o.Life)
	}
	s := t.find(o.Service, o.From)
	if o.Action == ActionGrant && reply.Outcome != Unsent && reply.Outcome != Refused && reply.Outcome != Gone {
		t.extend(reply)
	}
	if s == nil || s.Interval != o.Interval || s.version != o.version {
		return reply.Outcome != Fenced
	}
	s.busy = false
	switch {
	case o.Action == ActionRelease:
		t.applyRelease(s, reply)
		return true
	case s.phase == PhaseReleasing:
		return t.applyTakeBack(s, reply)
	}
	return t.applyGrant(s, reply)
}

// extend notes that the server may hold the keys of a grant, whatever the
// table says of them by now.
func (t *Table) extend(reply Reply) {
	o := reply.Order
	until := holdEnd(reply.Ended, o.Hold)
	for _, s := range t.services[o.Service] {
		if s.To < o.From || s.From > o.To {
			continue
		}
		late := reply.Outcome == Silent
		if s.owner == o.Life {
			s.until = later(s.until, until)
			if late {
				s.lateUntil = later(s.lateUntil, until)
			}
		}
		if s.previous != nil && s.previous.Life == o.Life {
			s.previous.Until = later(s.previous.Until, until)
			if late && o.Fence >= s.previous.Fence {
				s.previous.LateUntil = later(s.previous.LateUntil, until)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Answered tells that the life has answered an order or a request: orders that
// were lost on the way do not make it suspect.
func (t *Table) Answered(life fleet.Life) {
	delete(t.failures, life)
}

// unanswered counts an order without an answer.
func (t *Table) unanswered(life fleet.Life, now time.Time) {
	if t.failures[life]++; t.failures[life] >= suspectAfter {
		t.suspects[life] = now.Add(suspectFor)
	}
}

// applyTakeBack takes note of the grant that goes before a release.
func (t *Table) applyTakeBack(s *span, reply Reply) bool {
	switch reply.Outcome {
	case Done:
		s.previous.LateUntil = time.Time{}
		s.previous.voids = 0
		s.nextAt = time.Time{}
	case Fenced:
		s.nextAt = reply.Ended.Add(renewEvery)
		return false
	case Gone:
		t.released(s, "")
	default:
		if reply.Outcome == Unsent || reply.Outcome == Refused {
			s.previous.Until = reply.Order.before
		}
		s.nextAt = reply.Ended.Add(retryEvery)
	}
	return true
}

func (t *Table) applyRelease(s *span, reply Reply) {
	switch reply.Outcome {
	case Done:
		if s.previous.WaitOut {
			s.handover = reply.Handover
			s.nextAt = s.previous.Until.Add(retryEvery)
			return
		}
		t.released(s, reply.Handover)
	case Gone:
		t.released(s, "")
	default:
		s.nextAt = reply.Ended.Add(retryEvery)
	}
}

func (t *Table) applyGrant(s *span, reply Reply) bool {
	switch reply.Outcome {
	case Done:
		if s.phase != PhaseHeld {
			t.version++
		}
		s.phase = PhaseHeld
		s.handover = ""
		s.inherited = false
		s.nextAt = reply.Ended.Add(renewEvery)
		t.Answered(s.owner)
	case Fenced:
		s.nextAt = reply.Ended.Add(renewEvery)
		return false
	case Gone:
		s.until = reply.Ended
		s.nextAt = reply.Ended.Add(retryEvery)
		t.suspects[s.owner] = reply.Ended.Add(suspectFor)
	default:
		if reply.Outcome == Unsent || reply.Outcome == Refused {
			s.until = reply.Order.before
		}
		t.unanswered(s.owner, reply.Ended)
		s.nextAt = reply.Ended.Add(retryEvery)
		if s.phase == PhaseHeld && reply.Ended.After(s.until) {
			s.phase = PhaseGranting
			t.version++
		}
	}
	return true
}

// holdEnd returns when a grant has ended at the latest that arrived at the given time.
func holdEnd(arrived time.Time, hold time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(hold)*(1+clockDrift)) + holdMargin)
}

// SetHold changes the length of later grants.
func (t *Table) SetHold(hold time.Duration) {
	t.holdFor = hold
}
