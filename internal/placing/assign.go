package placing

import (
	"time"
)

// assignToBestServer gives the request to the server that is likely to answer first.
func (sched *Scheduler) assignToBestServer(now time.Time, svc *service, w *queuedAttempt) bool {
	typical := svc.typicalServiceTime()
	var best *server
	var bestTime float64
	for _, avoid := range []bool{true, false} {
		for _, s := range svc.servers {
			if !s.hasFreeSlot(now) || avoid && w.hasTried(s.Name) {
				continue
			}
			if s.Cold(now) && svc.ColdRate > 0 {
				s.coldTokens.refill(now, svc.ColdRate, coldStartBurst)
				if !sched.exclusive || s.coldTokens.tokens < 1 {
					continue
				}
			}
			t := sched.estimateResponseTime(now, s, w, typical)
			if best == nil || t < bestTime {
				best, bestTime = s, t
			}
		}
		if best != nil || !w.isRetry() {
			break
		}
	}
	if best == nil || !sched.tryAdmit(now, best, best.Slots, svc) {
		return false
	}
	sched.assign(now, best, w)
	return true
}

// tryAdmit takes a slot of the server, and a token while it is cold.
func (sched *Scheduler) tryAdmit(now time.Time, s *server, limit int, svc *service) bool {
	if !sched.exclusive && s.Cold(now) && svc.ColdRate > 0 {
		return false
	}
	return s.tryAdmit(now, limit, svc.ColdRate)
}

// estimateResponseTime estimates the time to an answer; a small random part spreads equal servers.
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
