package placing

import (
	"time"
)

// assignToBestServer assigns the attempt to the free server with the lowest
// estimated response time, and returns false if there is none. A retry goes to a
// server that the request was sent to before only if no other is free.
func (sched *Scheduler) assignToBestServer(now time.Time, svc *service, w *queuedAttempt) bool {
	best, _ := sched.bestFreeServer(now, svc, w, true)
	if best == nil && w.isRetry() {
		best, _ = sched.bestFreeServer(now, svc, w, false)
	}
	if best == nil || !sched.tryAdmit(now, best, best.Slots, svc) {
		return false
	}
	sched.assign(now, best, w)
	return true
}

// bestFreeServer returns the free server with the lowest estimated response time, and that time
// in seconds, or nil. With skipTried it leaves out those that the request was sent to before.
func (sched *Scheduler) bestFreeServer(now time.Time, svc *service, w *queuedAttempt, skipTried bool) (*server, float64) {
	typical := svc.typicalServiceTime()
	var best *server
	var bestTime float64
	for _, s := range svc.list {
		if !s.hasFreeSlot(now) {
			continue
		}
		t := sched.estimateResponseTime(now, s, w, typical)
		if best != nil && t >= bestTime {
			continue // before the checks, which cost more than the estimate
		}
		if s.pausedFor(now, w) > 0 || skipTried && w.hasTried(s.Name) || !sched.hasToken(now, s, svc) {
			continue
		}
		best, bestTime = s, t
	}
	return best, bestTime
}

// estimateResponseTime estimates the response time of the attempt at the server in
// seconds. A small random part spreads the load over equal servers.
func (sched *Scheduler) estimateResponseTime(now time.Time, s *server, w *queuedAttempt, typical float64) float64 {
	t := s.expectedServiceTime(now, typical)
	t *= 1 + 0.1*float64(len(s.inFlight)) + 0.02*sched.random.Float64()
	if s.Domain != w.Domain {
		t += crossDomainPenalty.Seconds()
		if w.Large {
			t += largeCrossDomainPenalty.Seconds()
		}
	}
	return t
}

func (a *Attempt) hasTried(server string) bool {
	for _, s := range a.Tried {
		if s == server {
			return true
		}
	}
	return false
}
