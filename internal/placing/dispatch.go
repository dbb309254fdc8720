package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// Complete records the end of an attempt and gives its slot to the next queued one.
func (sched *Scheduler) Complete(now time.Time, completion Completion) {
	RecordCrash(sched.crashes, now, completion)
	sched.completeForTeam(now, &completion)
	for _, svc := range sched.services {
		s := svc.servers[completion.Server]
		if s == nil {
			continue
		}
		svc.learnBaseTime(s, completion)
		s.recordCompletion(now, completion, svc.Keyed)
		switch completion.Outcome {
		case Lost:
			s.recentLosses = append(s.recentLosses, lostAttempt{contentHash: completion.ContentHash, lossID: completion.AttemptID.lossID(), at: now})
		case Answered, Shed:
			for _, l := range s.takeSurvivedLosses(now) {
				sched.crashes.Excuse(l.contentHash, l.lossID)
			}
		}
		if completion.Outcome == Answered {
			svc.recordServiceTime(completion.Duration)
		}
		sched.dispatchQueued(now, svc, s)
		return
	}
}

// Cancel removes an attempt from the queues.
func (sched *Scheduler) Cancel(id AttemptID) {
	if sched.ledger != nil {
		sched.ledger.Release(usagecap.Request(id))
	}
	keep := func(w *queuedAttempt) bool { return w.AttemptID != id }
	for _, svc := range sched.services {
		svc.queue.filter(keep)
		svc.unownedQueue.filter(keep)
		for _, s := range svc.list {
			if len(s.queue.waiting) > 0 {
				s.queue.filter(keep)
			}
		}
	}
}

// dispatchQueued assigns queued attempts to free slots: first those for keys of
// server s, then those that any server of the service may run.
func (sched *Scheduler) dispatchQueued(now time.Time, svc *service, s *server) {
	passed := 0 // how many attempts wait before the last one that was served
	for {
		i := s.nextQueued(now, svc)
		if i < 0 || !sched.tryAdmit(now, s, s.Slots+slotOvercommit, svc) {
			break
		}
		w := s.queue.waiting[i]
		s.queue.serveAt(i)
		sched.assign(now, s, w)
		if passed > i {
			passed--
		} else {
			passed = i
		}
	}
	if passed > 0 {
		serviceTime := s.expectedServiceTime(now, svc.typicalServiceTime())
		sched.refusePassed(now, svc, &s.queue, passed, &s.returns, serviceTime, serviceTime/float64(s.Slots))
	}
	passed = 0
	for {
		i := svc.nextQueued(now)
		if i < 0 || !sched.assignToBestServer(now, svc, svc.queue.waiting[i]) {
			break
		}
		svc.queue.serveAt(i)
		if passed > i {
			passed--
		} else {
			passed = i
		}
	}
	if passed > 0 {
		serviceTime := svc.typicalServiceTime()
		throughput, _ := sched.throughput(svc, serviceTime)
		sched.refusePassed(now, svc, &svc.queue, passed, &svc.returns, serviceTime, 1/throughput)
	}
}

// nextQueued returns the index of the attempt in the server's queue to serve next, or -1.
func (s *server) nextQueued(now time.Time, svc *service) int {
	return s.queue.nextIndex(now, s.expectedServiceTime(now, svc.typicalServiceTime()), func(w *queuedAttempt) bool { return s.pausedFor(now, w) == 0 })
}

// nextQueued returns the index of the attempt in the service's queue to serve next, or -1
// if no server has a free slot for any of them.
func (s *service) nextQueued(now time.Time) int {
	if len(s.queue.waiting) == 0 {
		return -1
	}
	free, pausing := 0, 0
	for _, v := range s.list {
		if v.hasFreeSlot(now) {
			free++
			if len(v.pauses) > 0 {
				pausing++
			}
		}
		if pausing < free {
			break // the others do not matter
		}
	}
	if free == 0 {
		return -1
	}
	return s.queue.nextIndex(now, s.typicalServiceTime(), func(w *queuedAttempt) bool { return pausing < free || s.hasFreeServer(now, w) })
}

// hasFreeServer reports whether a server with a free slot takes requests from the
// instance of the attempt.
func (s *service) hasFreeServer(now time.Time, w *queuedAttempt) bool {
	for _, v := range s.list {
		if v.hasFreeSlot(now) && v.pausedFor(now, w) == 0 {
			return true
		}
	}
	return false
}

// Tick refuses queued attempts that can no longer be served in time, and dispatches
// others to capacity that has become free. It is to be called regularly.
func (sched *Scheduler) Tick(now time.Time) {
	for _, svc := range sched.services {
		svc.slotsCounted = false
		sched.refuseExpired(now, svc)
		unowned := svc.unownedQueue
		svc.unownedQueue = queue{}
		for _, w := range unowned.waiting {
			sched.routeToOwner(now, svc, w)
		}
		for _, s := range svc.list {
			if s.isIdle() {
				continue
			}
			s.forgetEndedPauses(now)
			sched.requeueMovedKeys(now, svc, s)
			for id, deadline := range s.inFlight {
				if now.After(deadline.Add(time.Second)) {
					delete(s.inFlight, id) // the instance has ended without reporting the completion
				}
			}
		}
		sched.dispatchWaiting(now, svc)
	}
}

// requeueMovedKeys takes attempts out of the queue of s whose key s no longer owns,
// and routes them to the new owner.
func (sched *Scheduler) requeueMovedKeys(now time.Time, svc *service, s *server) {
	var moved []*queuedAttempt
	s.queue.filter(func(w *queuedAttempt) bool {
		if id, ready := sched.owners.Owner(svc.Name, w.Key); !ready || id != s.Name {
			moved = append(moved, w)
			return false
		}
		return true
	})
	for _, w := range moved {
		sched.routeToOwner(now, svc, w)
	}
}

// refuseExpired refuses the queued attempts that can no longer meet their deadline.
func (sched *Scheduler) refuseExpired(now time.Time, svc *service) {
	serviceTime := svc.typicalServiceTime()
	refuseLate := func(reason Reason) func(*queuedAttempt) bool {
		return func(w *queuedAttempt) bool {
			if w.meetsDeadline(now, serviceTime*deadlineMargin) {
				return true
			}
			sched.refuse(&w.Attempt, reason, seconds(serviceTime))
			return false
		}
	}
	svc.queue.filter(refuseLate(ReasonOverload))
	svc.unownedQueue.filter(refuseLate(ReasonNoOwner))
	for _, s := range svc.list {
		if len(s.queue.waiting) > 0 {
			s.queue.filter(refuseLate(ReasonOverload))
		}
	}
}
