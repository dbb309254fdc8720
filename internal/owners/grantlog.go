package owners

import "time"

// TakeGrantChanges returns the changes of grants since the last call, for the log.
func (t *Table) TakeGrantChanges() []GrantChange {
	out := t.grantChanges
	t.grantChanges = nil
	return out
}

// EndTenure adds the grants that this tenure leaves behind to the changes, and returns the
// latest time at which one of them expires, or the zero time if there is none. Grants whose
// result is not known are taken to be in effect. The table must not be used for orders
// any more.
func (t *Table) EndTenure(now time.Time) time.Time {
	for _, orders := range t.grantsInFlight {
		for _, o := range orders {
			t.extendGrant(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: o.CreatedAt.Add(OrderTimeout)})
		}
	}
	var last time.Time
	for service, ranges := range t.services {
		for _, r := range ranges {
			left := []*Grant{{Server: r.owner, issued: r.issued}}
			if r.previous != nil {
				left = append(left, r.previous)
			}
			for _, g := range left {
				if !now.Before(g.issued.validUntil) {
					continue
				}
				last = later(last, g.issued.validUntil)
				t.grantChanges = append(t.grantChanges, GrantChange{Service: service, Interval: r.Interval, Server: g.Server, Fence: g.issued.fence,
					SentAt: g.issued.sentAt, ValidUntil: g.issued.validUntil, End: GrantTenureEnded, EndedAt: now})
			}
		}
	}
	return last
}

// noteIssued adds a grant that the server has or may have carried out to those of the
// ranges that are its own. It adds a change if the grant is new.
func (t *Table) noteIssued(result OrderResult, expiry time.Time, issued []*issuedGrant) {
	o, isNew := result.Order, false
	for _, g := range issued {
		isNew = g.add(result, expiry) || isNew
	}
	if isNew {
		t.grantChanges = append(t.grantChanges, GrantChange{Service: o.Service, Interval: o.Interval, Server: o.Server, Fence: o.Fence,
			SentAt: o.CreatedAt, ValidUntil: expiry, Outcome: result.Outcome, Took: result.Ended.Sub(o.CreatedAt)})
	}
}

// noteEnd adds the end of the grant of the previous owner of a range to the changes.
func (t *Table) noteEnd(service string, r *rangeState, end GrantEnd, at time.Time) {
	g := r.previous
	if g.ExpiresBy.IsZero() {
		return // nobody has granted it
	}
	validUntil := g.ExpiresBy
	if g.processEnded {
		validUntil = g.issued.validUntil
	}
	t.grantChanges = append(t.grantChanges, GrantChange{Service: service, Interval: r.Interval, Server: g.Server, Fence: g.Fence,
		SentAt: g.issued.sentAt, ValidUntil: validUntil, End: end, EndedAt: at})
}
