package check

import "time"

// DomainOut is one time for which the operators have taken a failure domain out.
type DomainOut struct {
	Domain string
	// AckedAt is when the store had accepted that, and TakenBackAt when it had accepted the end, or
	// zero.
	AckedAt, TakenBackAt time.Time
}

// holds reports whether the domain was out at the given time.
func (d DomainOut) holds(at time.Time) bool {
	return at.After(d.AckedAt) && (d.TakenBackAt.IsZero() || at.Before(d.TakenBackAt))
}
