package owners

import "time"

// issuedGrant is what this tenure has granted of a range to one server, for the log. The
// zero value means nothing.
type issuedGrant struct {
	// fence is the highest fence of the grants, and answered is set if the server has
	// carried out one under it.
	fence    int64
	answered bool
	// sentAt is when the first order under that fence was made.
	sentAt time.Time
	// validUntil is the latest time at which one of the grants expires.
	validUntil time.Time
}

// add adds a grant that the server has or may have carried out. It reports whether it is
// the first one under its fence, or the first one of those that was answered.
func (g *issuedGrant) add(result OrderResult, expiry time.Time) bool {
	o, done := result.Order, result.Outcome == OutcomeDone
	g.validUntil = later(g.validUntil, expiry)
	switch {
	case o.Fence < g.fence:
		return false
	case o.Fence > g.fence:
		g.fence, g.sentAt, g.answered = o.Fence, o.CreatedAt, done
		return true
	}
	first := done && !g.answered
	g.answered = g.answered || done
	return first
}
