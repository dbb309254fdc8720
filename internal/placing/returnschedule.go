package placing

import (
	"math"
	"sort"
	"time"
)

// returnSchedule spreads the return of refused callers over the time in which a queue
// serves them. The same Retry-After for all would bring them back at the same time, when
// most of them are refused again.
type returnSchedule struct {
	// places holds the times of the booked places in order.
	places []time.Time
	// free is the earliest place that is not booked.
	free time.Time
	// arrivals is the decayed number of new attempts as of at.
	arrivals float64
	at       time.Time
	// unclaimed is the moving average of the share of places whose callers do not return.
	unclaimed float64
}

// countArrival counts a new attempt for the queue.
func (s *returnSchedule) countArrival(now time.Time) {
	s.decay(now)
	s.arrivals++
}

func (s *returnSchedule) decay(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		s.arrivals *= math.Exp(-now.Sub(s.at).Seconds() / arrivalTimeConstant.Seconds())
	}
	s.at = now
}

// book books the next free place of a queue that has served its attempts after wait and then
// serves one in perPlace seconds. It returns the time until the place and whether it is
// booked: the caller of w returns no later than after a part of its remaining time.
// Returns get what new attempts leave, as those can still be answered by their soft deadline.
func (s *returnSchedule) book(now time.Time, w *queuedAttempt, wait, perPlace float64) (time.Duration, bool) {
	s.decay(now)
	s.forget(now)
	at := now.Add(max(seconds(wait), minRetryAfter))
	if at.Before(s.free) {
		at = s.free
	}
	delay := at.Sub(now)
	if w.returning || delay > min(w.Deadline.Sub(now)/returnPatience, maxReturnDelay) {
		return delay, false
	}
	share := max(minReturnShare, 1-s.arrivals/arrivalTimeConstant.Seconds()*perPlace)
	s.places = append(s.places, at)
	s.free = at.Add(seconds(perPlace / share))
	return delay, true
}

// claim removes the place and reports whether it could be used now.
func (s *returnSchedule) claim(now, place time.Time) bool {
	s.forget(now)
	if place.IsZero() || place.After(now.Add(maxEarlyReturn)) {
		return false
	}
	i := sort.Search(len(s.places), func(i int) bool { return !s.places[i].Before(place) })
	if i == len(s.places) || !s.places[i].Equal(place) {
		return false
	}
	s.places = append(s.places[:i], s.places[i+1:]...)
	s.unclaimed -= claimWeight * s.unclaimed
	return true
}

// due returns how many callers are expected to return to their places until the given time.
func (s *returnSchedule) due(until time.Time) float64 {
	return float64(s.countUntil(until)) * (1 - s.unclaimed)
}

func (s *returnSchedule) countUntil(until time.Time) int {
	return sort.Search(len(s.places), func(i int) bool { return s.places[i].After(until) })
}

// forget drops the places whose callers have not returned.
func (s *returnSchedule) forget(now time.Time) {
	if len(s.places) == 0 || now.Sub(s.places[0]) < maxLateReturn {
		return
	}
	n := s.countUntil(now.Add(-maxLateReturn))
	for range n {
		s.unclaimed += claimWeight * (1 - s.unclaimed)
	}
	s.places = append(s.places[:0], s.places[n:]...)
}

// waitBehind returns how many seconds a new attempt waits for its service in a queue that
// serves one attempt in perPlace seconds: behind the attempts that go before it and, unless
// it takes a promised place itself, those that are to return until then. Those of other teams
// do not go before it.
func (s *returnSchedule) waitBehind(now time.Time, w *queuedAttempt, q *queue, perPlace float64) float64 {
	s.forget(now)
	wait := perPlace * float64(q.countAhead(w)+1)
	if w.promised || w.Team != "" || len(s.places) == 0 {
		return wait
	}
	return wait + perPlace*s.due(now.Add(seconds(wait)))
}
