package check

import "time"

// span is the time of an impairment; until is zero while it lasts.
type span struct {
	from, until time.Time
}

func (s *span) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}
