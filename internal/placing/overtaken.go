package placing

import "time"

// refuseOvertaken refuses the queued attempts that are too late by now for their turn: at
// their place in the queue they would end after their soft deadline, and as many attempts as
// slots are late as well, or after their deadline. Without that they would wait until their
// deadline, after which their callers cannot return.
func (sched *Scheduler) refuseOvertaken(now time.Time, svc *service, q *queue, s *returnSchedule, reason Reason, serviceTime, perPlace float64, slots int) {
	inTime, late := 0, 0
	for _, w := range q.waiting {
		if w.promised || w.meetsSoftDeadline(now, perPlace*float64(inTime+1)+serviceTime) {
			inTime++
		}
	}
	if inTime == len(q.waiting) {
		return
	}
	total, ahead := float64(inTime), 0
	q.filter(func(w *queuedAttempt) bool {
		if w.promised || w.meetsSoftDeadline(now, perPlace*float64(ahead+1)+serviceTime) {
			ahead++
			return true
		}
		wait := perPlace * (total + float64(late) + 1)
		if late < slots && w.meetsDeadline(now, wait+serviceTime*deadlineMargin) {
			late++
			return true
		}
		svc.shortage.Overtaken++
		sched.refuseUntilPlace(now, svc, s, w, reason, wait, perPlace)
		return false
	})
}

// refusePassed refuses the attempts before index i that would end after their soft deadline,
// as later ones have just been served in their place: there is no capacity to spare for them,
// and their callers still have time to return.
func (sched *Scheduler) refusePassed(now time.Time, svc *service, q *queue, i int, s *returnSchedule, serviceTime, perPlace float64) {
	index, wait := -1, perPlace*float64(len(q.waiting))
	q.filter(func(w *queuedAttempt) bool {
		if index++; index >= i || w.promised || w.meetsSoftDeadline(now, serviceTime) {
			return true
		}
		svc.shortage.Overtaken++
		sched.refuseUntilPlace(now, svc, s, w, ReasonOverload, wait, perPlace)
		return false
	})
}
