package keyowners

import (
	"slices"
	"time"
)

// endedGrant is the end of a grant in the log of an instance. Inherited ones were given by an
// earlier tenure.
type endedGrant struct {
	Grant
	inherited bool
	at        time.Time
}

// ends reports whether the line tells of the end of the grant. A tenure that takes a grant of
// another one for expired may be wrong, so that this ends only its own grants. A grant under
// a higher fence of the same tenure has replaced those under lower ones.
func (e endedGrant) ends(g Grant) bool {
	if !e.sameServer(g) || !e.at.After(g.SentAt) {
		return false
	}
	if slices.Contains(processEndings, e.End) {
		return true
	}
	return g.Fence <= e.Fence && (e.sameTenure(g) && !e.inherited || e.End == releaseEnds)
}
