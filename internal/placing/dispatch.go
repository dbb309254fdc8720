package placing

import (
	"time"
)

// Complete takes note of the end of an attempt and gives its slot to the next request.
func (sched *Scheduler) Complete(now time.Time, f Completion) {
	sched.crashes.record(now, f)
	for _, svc := range sched.services {
		s := svc.servers[f.Server]
		if s == nil {
			continue
		}
		s.recordCompletion(now, f)
		switch f.Outcome {
		case Lost:
			s.recentLosses = append(s.recentLosses, lostAttempt{contentHash: f.ContentHash, at: now})
		case Answered, Shed:
			for _, l := range s.takeSurvivedLosses(now) {
				sched.crashes.retract(l.contentHash)
			}
		}
		if f.Outcome == Answered {
			svc.recordServiceTime(f.Duration)
		}
		sched.dispatchQueued(now, svc, s)
		return
	}
}

// Cancel forgets a request that waits no more.
func (sched *Scheduler) Cancel(t AttemptID) {
	keep := func(w *queuedAttempt) bool { return w.AttemptID != t }
	for _, svc := range sched.services {
		svc.queue.filter(keep)
		svc.unownedQueue.filter(keep)
		for _, s := range svc.servers {
			s.queue.filter(keep)
		}
	}
}

// dispatchQueued gives free slots to requests that wait.
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

// Tick refuses what can no longer be served in time and uses what has become free.
func (sched *Scheduler) Tick(now time.Time) {
	for _, svc := range sched.services {
		sched.refuseExpired(now, svc)
		parked := svc.unownedQueue
		svc.unownedQueue = nil
		for _, w := range parked {
			sched.routeToOwner(now, svc, w)
		}
		for _, s := range svc.servers {
			sched.requeueMovedKeys(now, svc, s)
			for t, deadline := range s.inFlight {
				if now.After(deadline.Add(time.Second)) {
					delete(s.inFlight, t) // its instance is gone
				}
			}
			sched.dispatchQueued(now, svc, s)
		}
	}
}

// requeueMovedKeys moves requests whose key has changed its owner.
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

func (sched *Scheduler) refuseExpired(now time.Time, svc *service) {
	took := svc.typicalServiceTime()
	late := func(reason Reason) func(*queuedAttempt) bool {
		return func(w *queuedAttempt) bool {
			if w.meetsDeadline(now, took*deadlineMargin) {
				return true
			}
			sched.refuse(w.AttemptID, reason, seconds(took))
			return false
		}
	}
	svc.queue.filter(late(ReasonOverload))
	svc.unownedQueue.filter(late(ReasonNoOwner))
	for _, s := range svc.servers {
		s.queue.filter(late(ReasonOverload))
	}
}
