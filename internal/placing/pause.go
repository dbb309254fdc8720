package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Pause records that the incarnation wants no requests from an instance until the given time.
func (sched *Scheduler) Pause(incarnation fleet.Incarnation, instance string, until time.Time) {
	for _, svc := range sched.services {
		s := svc.servers[incarnation.Name]
		if s == nil || s.Incarnation != incarnation {
			continue
		}
		if s.pauses == nil {
			s.pauses = map[string]time.Time{}
		}
		s.pauses[instance] = until
	}
}

// pausedFor returns how much longer the server wants no requests from the instance of
// the attempt, or 0.
func (s *server) pausedFor(now time.Time, w *queuedAttempt) time.Duration {
	return max(0, s.pauses[w.AttemptID.Instance].Sub(now))
}

// pausedBeyondDeadline reports whether all usable servers pause the instance of the attempt
// beyond its deadline, and returns the time until the first of them does not.
func (s *service) pausedBeyondDeadline(now time.Time, w *queuedAttempt) (time.Duration, bool) {
	shortest := time.Duration(-1)
	for _, v := range s.servers {
		if v.excluded {
			continue
		}
		if pause := v.pausedFor(now, w); shortest < 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest, shortest > 0 && now.Add(shortest).After(w.Deadline)
}

// forgetEndedPauses drops the pauses that have ended.
func (s *server) forgetEndedPauses(now time.Time) {
	for instance, until := range s.pauses {
		if !now.Before(until) {
			delete(s.pauses, instance)
		}
	}
}
