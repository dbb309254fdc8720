package facts

import "time"

// Unbroken is a span of time in which the store was read again and again, without a gap in which
// entries of living servers may have expired.
type Unbroken struct {
	Since, Until time.Time
}

// extend returns the span after another reading at the given time.
func (u Unbroken) extend(at time.Time) Unbroken {
	if at.Sub(u.Until) > outageThreshold {
		u.Since = at
	}
	u.Until = at
	return u
}

// rulesOut reports whether the store was not out in the other span for so long that entries have
// expired.
func (u Unbroken) rulesOut(gap Unbroken) bool {
	return u.Since.Sub(gap.Since) <= outageThreshold && gap.Until.Sub(u.Until) <= outageThreshold
}
