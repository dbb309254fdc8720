package placing

import "time"

// recogniseReturn finds out whether the attempt is the return of a refused caller, and
// whether it takes the place that it was promised. Without one it keeps the soft deadline
// of its first attempt, so that it does not make new attempts late as well.
func recogniseReturn(now time.Time, svc *service, s *returnSchedule, w *queuedAttempt) {
	if w.checked {
		return
	}
	w.checked = true
	var refused refusal
	if w.ContentHash != 0 { // an instance that does not send it
		refused, w.returning = svc.refusals.take(now, &w.Attempt)
	}
	if !w.returning {
		s.countArrival(now)
		return
	}
	svc.shortage.Returned++
	if w.promised = s.claim(now, refused.place); w.promised {
		svc.shortage.PlacesTaken++
	} else if refused.softDeadline.Before(w.SoftDeadline) {
		w.SoftDeadline = refused.softDeadline
	}
}

// refuseUntilPlace refuses the attempt and books the next free place on the schedule of its
// queue, which has served its attempts after wait seconds and then serves one in perPlace
// seconds.
func (sched *Scheduler) refuseUntilPlace(now time.Time, svc *service, s *returnSchedule, w *queuedAttempt, reason Reason, wait, perPlace float64) {
	delay, booked := s.book(now, w, wait, perPlace)
	delay = min(max(delay, minRetryAfter), maxReturnDelay)
	r := refusal{softDeadline: w.SoftDeadline, returnsFrom: now.Add(min(delay, w.Deadline.Sub(now)/returnPatience) - maxEarlyReturn)}
	svc.shortage.Refused++
	if booked {
		svc.shortage.Places++
		r.place = now.Add(delay)
	}
	svc.refusals.add(now, &w.Attempt, r)
	sched.refuseWithDelay(&w.Attempt, reason, delay)
}
