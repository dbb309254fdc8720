package placing

import "time"

// submitHedge assigns a hedge to a server that is free now and was not tried, or refuses it.
// A hedge is never queued: it must not delay a request that has no server yet.
func (sched *Scheduler) submitHedge(now time.Time, svc *service, w *queuedAttempt) {
	if svc.Keyed || !sched.exclusive || svc.isShort(now) || !svc.hedges.Allows(now) {
		sched.refuse(&w.Attempt, ReasonNoHedge, minRetryAfter)
		return
	}
	best := sched.bestServerForHedge(now, svc, w)
	if best == nil || !svc.retries.tryHedge(now) || !sched.tryAdmit(now, best, best.Slots, svc) {
		sched.refuse(&w.Attempt, ReasonNoHedge, minRetryAfter)
		return
	}
	svc.hedges.CountHedge(now)
	sched.assign(now, best, w)
}

// isShort reports whether the service is short of capacity: attempts are queued, refused
// callers are to return, or too few slots are free. The next requests need those.
func (s *service) isShort(now time.Time) bool {
	s.returns.forget(now)
	if len(s.queue.waiting) > 0 || len(s.returns.places) > 0 {
		return true
	}
	free, slots := 0, 0
	for _, v := range s.list {
		if v.excluded {
			continue
		}
		slots += v.Slots
		if v.hasFreeSlot(now) {
			free += v.Slots - len(v.inFlight)
		}
	}
	return float64(free) < minFreeForHedge*float64(slots)
}

// bestServerForHedge returns the free server with the lowest estimated response time that was
// not tried, or nil. There is none if that time is beyond the deadline.
func (sched *Scheduler) bestServerForHedge(now time.Time, svc *service, w *queuedAttempt) *server {
	best, bestTime := sched.bestFreeServer(now, svc, w, true)
	if best == nil || !w.meetsDeadline(now, bestTime) {
		return nil
	}
	return best
}

// tryHedge counts a hedge as a retry if the budget and the credit of hedges allow it, and
// reports whether they do.
func (r *retryLimiter) tryHedge(now time.Time) bool {
	return r.hedgeCredit >= 1 && r.tryRetry(now)
}

// earnHedgeCredit adds what one request allows.
func (r *retryLimiter) earnHedgeCredit() {
	r.hedgeCredit = min(r.hedgeCredit+hedgeBudgetPart*r.ratio, hedgeBudgetPart*r.extra)
}

// spendHedgeCredit subtracts a retry or hedge. Retries may leave it below 0.
func (r *retryLimiter) spendHedgeCredit() {
	r.hedgeCredit = max(r.hedgeCredit-1, -hedgeBudgetPart*r.extra)
}
