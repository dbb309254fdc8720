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
	t.landed(o)
	if t.underway[o.Server]--; t.underway[o.Server] <= 0 {
		delete(t.underway, o.Server)
	}
	s := t.find(o.Service, o.From)
	if o.Action == ActionGrant && reply.Outcome != OutcomeUnsent && reply.Outcome != OutcomeRefused && reply.Outcome != OutcomeProcessEnded {
		t.extend(reply)
	}
	if s == nil || s.Interval != o.Interval || s.version != o.version {
		return reply.Outcome != OutcomeFenced
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

// landed forgets a grant that is not under way any more.
func (t *Table) landed(o Order) {
	left := slices.DeleteFunc(t.flying[o.Server], func(other Order) bool { return other.number == o.number })
	if len(left) == 0 {
		delete(t.flying, o.Server)
		return
	}
	t.flying[o.Server] = left
}

// extend notes that the server may hold the keys of a grant, whatever the
// table says of them by now.
func (t *Table) extend(reply OrderResult) {
	o := reply.Order
	until := holdEnd(reply.Ended, o.GrantDuration)
	for _, s := range t.services[o.Service] {
		if s.To < o.From || s.From > o.To {
			continue
		}
		late := reply.Outcome == OutcomeNoAnswer
		if s.owner == o.Server {
			s.until = later(s.until, until)
			if late {
				s.lateUntil = later(s.lateUntil, until)
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

// unanswered counts an order without an answer.
func (t *Table) unanswered(life fleet.Incarnation, now time.Time) {
	if t.failures[life]++; t.failures[life] >= suspectThreshold {
		t.suspects[life] = now.Add(suspectDuration)
	}
}

// applyTakeBack takes note of the grant that goes before a release.
func (t *Table) applyTakeBack(s *span, reply OrderResult) bool {
	switch reply.Outcome {
	case OutcomeDone:
		s.previous.UnansweredUntil = time.Time{}
		s.previous.supersedingGrants = 0
		s.nextAt = time.Time{}
	case OutcomeFenced:
		s.nextAt = reply.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		t.released(s, "")
	default:
		if reply.Outcome == OutcomeUnsent || reply.Outcome == OutcomeRefused {
			s.previous.ExpiresBy = reply.Order.before
		}
		s.previous.unresponsive = true
		s.nextAt = reply.Ended.Add(retryInterval)
	}
	return true
}

func (t *Table) applyRelease(s *span, reply OrderResult) {
	switch reply.Outcome {
	case OutcomeDone:
		if s.previous.ExpiryOnly {
			s.handover = reply.Handover
			s.nextAt = s.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.released(s, reply.Handover)
	case OutcomeProcessEnded:
		if s.previous.Ambiguous {
			s.nextAt = s.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.released(s, "")
	default:
		s.previous.unresponsive = true
		s.nextAt = reply.Ended.Add(retryInterval)
	}
}

func (t *Table) applyGrant(s *span, reply OrderResult) bool {
	switch reply.Outcome {
	case OutcomeDone:
		if s.phase != PhaseHeld {
			t.version++
		}
		s.phase = PhaseHeld
		s.handover = ""
		s.inherited = false
		s.nextAt = reply.Ended.Add(renewInterval)
		t.ClearFailures(s.owner)
	case OutcomeFenced:
		s.nextAt = reply.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		s.until = reply.Ended
		s.nextAt = reply.Ended.Add(retryInterval)
		t.suspects[s.owner] = reply.Ended.Add(suspectDuration)
	default:
		if reply.Outcome == OutcomeUnsent || reply.Outcome == OutcomeRefused {
			s.until = reply.Order.before
		}
		t.unanswered(s.owner, reply.Ended)
		s.nextAt = reply.Ended.Add(retryInterval)
		if s.phase == PhaseHeld && reply.Ended.After(s.until) {
			s.phase = PhaseGranting
			t.version++
		}
	}
	return true
}

// holdEnd returns when a grant has ended at the latest that arrived at the given time.
func holdEnd(arrived time.Time, hold time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(hold)*(1+maxClockDrift)) + expiryMargin)
}
