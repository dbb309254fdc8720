package usagecap

import "time"

// returnSchedule spreads the return of refused callers: each refusal books the next place,
// and there is one place for each request that the cap allows.
type returnSchedule struct {
	// next is the first place that is not booked.
	next time.Time
}

// book returns the delay until the next free place. No place is before free, when the cap
// has the next request left. After maxReturnDelay the places are booked again from the
// beginning, so that the delay stays shorter than callers wait.
func (s *returnSchedule) book(now, free time.Time, rate float64) time.Duration {
	at := s.next
	if at.Before(free) || at.Sub(now) > maxReturnDelay {
		at = free
	}
	s.next = at.Add(seconds(1 / rate))
	return at.Sub(now)
}

// maxSeconds bounds the times computed from rates, which may be tiny.
const maxSeconds = 1e6

// seconds returns a duration of at most maxSeconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
