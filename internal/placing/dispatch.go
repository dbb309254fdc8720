package placing

import (
	"time"
)

// Complete records the end of an attempt and gives its slot to the next queued one.
func (sched *Scheduler) Complete(now time.Time, completion Completion) {
	sched.crashes.record(now, completion)
	for _, svc := range sched.services {
		s := svc.servers[completion.Server]
		if s == nil {
			continue
		}
		s.recordCompletion(now, completion)
		switch completion.Outcome {
		case Lost:
			s.recentLosses = append(s.recentLosses, lostAttempt{contentHash: completion.ContentHash, at: now})
		case Answered, Shed:
			for _, l := range s.takeSurvivedLosses(now) {
				sched.crashes.retract(l.contentHash)
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
	keep := func(w *queuedAttempt) bool { return w.AttemptID != id }
	for _, svc := range sched.services {
		svc.queue.filter(keep)
		svc.unownedQueue.filter(keep)
		for _, s := range svc.servers {
			s.queue.filter(keep)
		}
	}
}

// dispatchQueued assigns queued attempts to free slots: first those for keys of
// server s, then those that any server of the service may run.
func (sched *Scheduler) dispatchQueued(now time.Time, svc *service, s *server) {
	for len(s.queue) > 0 && sched.tryAdmit(now, s, s.Slots+slotOvercommit, svc) {
		i := s.queue.nextIndex(now, s.expectedServiceTime(now, svc.typicalServiceTime()))
		w := s.queue[i]
		s.queue.removeAt(i)
		sched.assign(now, s, w)
	}
	for len(svc.queue) > 0 {
		i := svc.queue.nextIndex(now, svc.typicalServiceTime())
		if !sched.assignToBestServer(now, svc, svc.queue[i]) {
			return
		}
		svc.queue.removeAt(i)
	}
}

// Tick refuses queued attempts that can no longer be served in time, and dispatches
// others to capacity that has become free. It is to be called regularly.
func (sched *Scheduler) Tick(now time.Time) {
	for _, svc := range sched.services {
		sched.refuseExpired(now, svc)
		unowned := svc.unownedQueue
		svc.unownedQueue = nil
		for _, w := range unowned {
			sched.routeToOwner(now, svc, w)
		}
		for _, s := range svc.servers {
			sched.requeueMovedKeys(now, svc, s)
			for id, deadline := range s.inFlight {
				if now.After(deadline.Add(time.Second)) {
					delete(s.inFlight, id) // the instance has ended without reporting the completion
				}
			}
			sched.dispatchQueued(now, svc, s)
		}
	}
}

// requeueMovedKeys takes attempts out of the queue of s whose key s no longer owns,
// and routes them to the new owner.
func (sched *Scheduler) requeueMovedKeys(now time.Time, svc *service, s *server) {
	var moved queue
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
			sched.refuse(w.AttemptID, reason, seconds(serviceTime))
			return false
		}
	}
	svc.queue.filter(refuseLate(ReasonOverload))
	svc.unownedQueue.filter(refuseLate(ReasonNoOwner))
	for _, s := range svc.servers {
		s.queue.filter(refuseLate(ReasonOverload))
	}
}
