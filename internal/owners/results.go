package owners

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Apply updates the table with the result of an order. It returns false when a
// higher fence shows that another instance has become the holder.
func (t *Table) Apply(result OrderResult) bool {
	o := result.Order
	t.removeInFlight(o)
	t.ordersUnderWay = max(0, t.ordersUnderWay-1)
	if t.ordersInFlight[o.Server]--; t.ordersInFlight[o.Server] <= 0 {
		delete(t.ordersInFlight, o.Server)
	}
	r := t.find(o.Service, o.From)
	if o.Action == ActionGrant && result.Outcome != OutcomeUnsent && result.Outcome != OutcomeRefused && result.Outcome != OutcomeProcessEnded {
		t.extendGrant(result)
	}
	if r == nil || r.Interval != o.Interval || r.version != o.version {
		return result.Outcome != OutcomeFenced
	}
	r.orderInFlight = false
	switch {
	case o.Action == ActionRelease:
		t.applyRelease(r, result)
		return true
	case r.phase == PhaseConfirming:
		return t.applyConfirmingGrant(r, result)
	case r.phase == PhaseReleasing:
		return t.applySupersedingGrant(r, result)
	}
	return t.applyGrant(r, result)
}

// removeInFlight removes a grant from those in flight.
func (t *Table) removeInFlight(o Order) {
	left := slices.DeleteFunc(t.grantsInFlight[o.Server], func(other Order) bool { return other.number == o.number })
	if len(left) == 0 {
		delete(t.grantsInFlight, o.Server)
		return
	}
	t.grantsInFlight[o.Server] = left
}

// extendGrant extends the expiry of all ranges that the server may hold because of
// the grant, also if they were split, merged or moved since the order was made.
func (t *Table) extendGrant(result OrderResult) {
	o := result.Order
	expiry := grantExpiry(result.Ended, o.GrantDuration)
	var issued []*issuedGrant
	for _, r := range t.services[o.Service] {
		if r.To < o.From || r.From > o.To {
			continue
		}
		unanswered := result.Outcome == OutcomeNoAnswer
		if r.owner == o.Server {
			issued = append(issued, &r.issued)
			r.expiresBy = later(r.expiresBy, expiry)
			if unanswered {
				r.unansweredUntil = later(r.unansweredUntil, expiry)
			}
		}
		if r.previous != nil && r.previous.Server == o.Server {
			issued = append(issued, &r.previous.issued)
			r.previous.ExpiresBy = later(r.previous.ExpiresBy, expiry)
			if unanswered && o.Fence >= r.previous.Fence {
				r.previous.UnansweredUntil = later(r.previous.UnansweredUntil, expiry)
			}
		}
	}
	if result.Outcome != OutcomeFenced {
		t.noteIssued(result, expiry, issued)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ClearFailures resets the count of unanswered orders of a server that has answered
// an order or a request, so that orders lost in the network do not make it suspect.
func (t *Table) ClearFailures(server fleet.Incarnation) {
	delete(t.failures, server)
}

// countFailure counts an order without an answer.
func (t *Table) countFailure(server fleet.Incarnation, now time.Time) {
	if t.failures[server]++; t.failures[server] >= suspectThreshold {
		t.suspects[server] = now.Add(suspectDuration)
	}
}

// applyConfirmingGrant applies the result of the grant that precedes the record of a move.
// The answers to earlier grants may have been copies of those before them, so that any of
// these grants may take effect late unless the server has answered this one.
func (t *Table) applyConfirmingGrant(r *rangeState, result OrderResult) bool {
	switch result.Outcome {
	case OutcomeDone:
		r.previous.UnansweredUntil = time.Time{}
		r.previous.UnansweredAtMove = false
		t.ClearFailures(r.previous.Server)
	case OutcomeFenced:
		r.nextOrderAt = result.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		r.previous.ExpiresBy, r.previous.processEnded = result.Ended, true
		r.previous.UnansweredAtMove = false
		t.ended[r.previous.Server] = result.Ended.Add(suspectDuration)
	default:
		if result.Outcome == OutcomeUnsent || result.Outcome == OutcomeRefused {
			r.previous.ExpiresBy = result.Order.withdrawnExpiry(r.previous.ExpiresBy)
		}
		r.previous.unresponsive = r.previous.unresponsive || !result.Expired
		r.previous.UnansweredUntil = later(r.previous.UnansweredUntil, r.previous.ExpiresBy)
		r.previous.UnansweredAtMove = true
	}
	t.endConfirmation(r)
	return true
}

// endConfirmation lets the move of a range go into the record.
func (t *Table) endConfirmation(r *rangeState) {
	r.phase = PhasePlanned
	r.fence = t.nextFence()
	r.version = t.newPlanVersion()
}

// applySupersedingGrant applies the result of a grant that was sent to the previous
// owner before its release, to invalidate an unanswered one.
func (t *Table) applySupersedingGrant(r *rangeState, result OrderResult) bool {
	switch result.Outcome {
	case OutcomeDone:
		r.previous.UnansweredUntil = time.Time{}
		r.previous.supersedingGrants = 0
		r.nextOrderAt = time.Time{}
	case OutcomeFenced:
		r.nextOrderAt = result.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		t.finishRelease(result.Order.Service, r, GrantServerEnded, result.Ended, "")
	default:
		if result.Outcome == OutcomeUnsent || result.Outcome == OutcomeRefused {
			r.previous.ExpiresBy = result.Order.withdrawnExpiry(r.previous.ExpiresBy)
			r.previous.supersedingGrants-- // it has not postponed the expiry
		}
		if result.Expired && r.previous.supersedingGrants > 0 {
			r.previous.supersedingGrants-- // the server has not been asked
		}
		r.previous.unresponsive = r.previous.unresponsive || !result.Expired
		r.nextOrderAt = result.Ended.Add(retryInterval)
	}
	return true
}

func (t *Table) applyRelease(r *rangeState, result OrderResult) {
	switch result.Outcome {
	case OutcomeDone:
		if r.previous.ExpiryOnly {
			r.handover = result.Handover
			r.nextOrderAt = r.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.finishRelease(result.Order.Service, r, GrantReleased, result.Ended, result.Handover)
	case OutcomeProcessEnded:
		if r.previous.Ambiguous {
			r.nextOrderAt = r.previous.ExpiresBy.Add(retryInterval)
			return
		}
		t.finishRelease(result.Order.Service, r, GrantServerEnded, result.Ended, "")
	default:
		r.previous.unresponsive = r.previous.unresponsive || !result.Expired
		r.nextOrderAt = result.Ended.Add(retryInterval)
	}
}

func (t *Table) applyGrant(r *rangeState, result OrderResult) bool {
	switch result.Outcome {
	case OutcomeDone:
		if r.phase != PhaseHeld {
			t.version++
		}
		r.phase = PhaseHeld
		r.handover = ""
		r.inherited = false
		r.nextOrderAt = result.Ended.Add(renewInterval)
		t.ClearFailures(r.owner)
	case OutcomeFenced:
		r.nextOrderAt = result.Ended.Add(renewInterval)
		return false
	case OutcomeProcessEnded:
		r.expiresBy = result.Ended
		r.nextOrderAt = result.Ended.Add(retryInterval)
		t.ended[r.owner] = result.Ended.Add(suspectDuration)
	default:
		if result.Outcome == OutcomeUnsent || result.Outcome == OutcomeRefused {
			r.expiresBy = result.Order.withdrawnExpiry(r.expiresBy)
		}
		if !result.Expired {
			t.countFailure(r.owner, result.Ended)
		}
		r.nextOrderAt = result.Ended.Add(retryInterval)
		if r.phase == PhaseHeld && result.Ended.After(r.expiresBy) {
			r.phase = PhaseGranting
			t.version++
		}
	}
	return true
}

// grantExpiry returns the latest time, on the holder's clock, at which a grant
// expires that reached the server at the given time.
func grantExpiry(arrived time.Time, duration time.Duration) time.Time {
	return arrived.Add(time.Duration(float64(duration)*(1+maxClockDrift)) + expiryMargin)
}
