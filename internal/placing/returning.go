package placing

import "time"

// recogniseReturn finds out whether the attempt is the return of a refused caller. It then
// keeps the soft deadline of its first attempt: an instance counts the latency target from
// the arrival of each attempt, so that a late request would make new ones late as well.
func recogniseReturn(now time.Time, svc *service, w *queuedAttempt) {
	if w.checked {
		return
	}
	w.checked = true
	if w.ContentHash == 0 { // an instance that does not send it
		return
	}
	if refused, returns := svc.refusals.take(now, &w.Attempt); returns && refused.softDeadline.Before(w.SoftDeadline) {
		w.SoftDeadline = refused.softDeadline
	}
}

// refuseFull refuses an attempt that a queue cannot serve in time before wait seconds.
func (sched *Scheduler) refuseFull(now time.Time, svc *service, w *queuedAttempt, reason Reason, wait float64) {
	delay := min(max(seconds(wait), minRetryAfter), maxRetryAfter)
	svc.refusals.add(now, &w.Attempt, refusal{
		softDeadline: w.SoftDeadline,
		returnsFrom:  now.Add(min(delay, w.Deadline.Sub(now)/returnPatience) - maxEarlyReturn),
	})
	sched.refuse(w.AttemptID, reason, delay)
}
