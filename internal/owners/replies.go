package owners

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Apply takes note of the end of an order's call. It returns false when a higher
// fence shows that another instance has become the holder.
func (t *Table) Apply(reply OrderResult) bool {
	o := reply.Order
	t.removeInFlight(o)
	if t.ordersInFlight[o.Server]--; t.ordersInFlight[o.Server] <= 0 {
		delete(t.ordersInFlight, o.Server)
	}
	s := t.find(o.Service, o.From)
	if o.Action == ActionGrant && reply.Outcome != OutcomeUnsent && reply.Outcome != OutcomeRefused && reply.Outcome != OutcomeProcessEnded {
		t.extendGrant(reply)
	}
	if s == nil || s.Interval != o.Interval || s.version != o.version {
		return reply.Outcome != OutcomeFenced
	}
	s.orderInFlight = false
	switch {
	case o.Action == ActionRelease:
		t.applyRelease(s, reply)
		return true
	case s.phase == PhaseReleasing:
		return t.applySupersedingGrant(s, reply)
	}
	return t.applyGrant(s, reply)
}

// removeInFlight forgets a grant that is not under way any more.
func (t *Table) removeInFlight(o Order) {
	left := slices.DeleteFunc(t.grantsInFlight[o.Server], func(other Order) bool { return other.number == o.number })
	if len(left) == 0 {
		delete(t.grantsInFlight, o.Server)
		return
	}
	t.grantsInFlight[o.Server] = left
}

// extendGrant notes that the server may hold the keys of a grant, whatever the
// table says of them by now.
func (t *Table) extendGrant(reply OrderResult) {
	o := reply.Order
	until := grantExpiry(reply.Ended, o.GrantDuration)
	for _, s := range t.services[o.Service] {
		if s.To < o.From || s.From > o.To {
			continue
		}
		late := reply.Outcome == OutcomeNoAnswer
		if s.owner == o.Server {
			s.expiresBy = later(s.expiresBy, until)
			if late {
				s.unansweredUntil = later(s.unansweredUntil, until)
			}
		}
		if s.previous != nil && s.previous.Server == o.Server {
			s.previous.ExpiresBy = later(s.previous.ExpiresBy, until)
			if late && o.Fence >= s.previous.Fence {
				s.previous.UnansweredUntil = later(s.previous.UnansweredUntil, until)
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

// ClearFailures tells that the life has answered an order or a request: orders that
// were lost on the way do not make it suspect.
func (t *Table) ClearFailures(life fleet.Incarnation) {
	delete(t.failures, life)
}

// countFailure counts an order without an answer.
func (t *Table) countFailure(life fleet.Incarnation, now time.Time) {
	if t.failures[life]++; t.failures[life] >= suspectThreshold {
		t.suspects[life] = now.Add(suspectDuration)
	}
}

// applySupersedingGrant takes note of the grant that goes before a release.
func (t *Table) applySupersedingGrant(s *rangeState, reply OrderResult) bool {
	switch reply.Outcome {
	case OutcomeDone:
		s.previous.UnansweredUntil = time.Time{}
		s.previous.supersedingGrants = 0
		s.nextOrderAt = time.Time{}
	case OutcomeFenced:
		s.nextOrderAt = reply.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		t.finishRelease(s, "")
	default:
		if reply.Outcome == OutcomeUnsent || reply.Outcome == OutcomeRefused {
			s.previous.ExpiresBy = reply.Order.previousExpiry
		}
		s.previous.unresponsive = true
		s.nextOrderAt = reply.Ended.Add(retryInterval)
	}
	return true
}

func (t *Table) applyRelease(s *rangeState, reply OrderResult) {
	switch reply.Outcome {
	case OutcomeDone:
		if s.previous.ExpiryOnly {
			s.handover = reply.Handover
			s.nextOrderAt = s.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.finishRelease(s, reply.Handover)
	case OutcomeProcessEnded:
		if s.previous.Ambiguous {
			s.nextOrderAt = s.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.finishRelease(s, "")
	default:
		s.previous.unresponsive = true
		s.nextOrderAt = reply.Ended.Add(retryInterval)
	}
}

func (t *Table) applyGrant(s *rangeState, reply OrderResult) bool {
	switch reply.Outcome {
	case OutcomeDone:
		if s.phase != PhaseHeld {
			t.version++
		}
		s.phase = PhaseHeld
		s.handover = ""
		s.inherited = false
		s.nextOrderAt = reply.Ended.Add(renewInterval)
		t.ClearFailures(s.owner)
	case OutcomeFenced:
		s.nextOrderAt = reply.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		s.expiresBy = reply.Ended
		s.nextOrderAt = reply.Ended.Add(retryInterval)
		t.suspects[s.owner] = reply.Ended.Add(suspectDuration)
	default:
		if reply.Outcome == OutcomeUnsent || reply.Outcome == OutcomeRefused {
			s.expiresBy = reply.Order.previousExpiry
		}
		t.countFailure(s.owner, reply.Ended)
		s.nextOrderAt = reply.Ended.Add(retryInterval)
		if s.phase == PhaseHeld && reply.Ended.After(s.expiresBy) {
			s.phase = PhaseGranting
			t.version++
		}
	}
	return true
}

// grantExpiry returns when a grant has ended at the latest that arrived at the given time.
func grantExpiry(arrived time.Time, hold time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(hold)*(1+maxClockDrift)) + expiryMargin)
}
