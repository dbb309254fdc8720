package facts

import "time"

// ReadSpan is a span of time in which the store was read again and again, without a gap in which
// entries of living servers may have expired.
type ReadSpan struct {
	Since, Until time.Time
}

// extend returns the span after another reading at the given time.
func (s ReadSpan) extend(at time.Time) ReadSpan {
	if at.Sub(s.Until) > outageThreshold {
		s.Since = at
	}
	s.Until = at
	return s
}

// rulesOut reports whether the store was not out in the other span for so long that entries have
// expired.
func (s ReadSpan) rulesOut(gap ReadSpan) bool {
	return s.Since.Sub(gap.Since) <= outageThreshold && gap.Until.Sub(s.Until) <= outageThreshold
}
