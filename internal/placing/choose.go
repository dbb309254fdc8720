package placing

import (
	"time"
)

// placeFree gives the request to the server that is likely to answer first.
func (p *Scheduler) placeFree(now time.Time, svc *service, w *waiting) bool {
	typical := svc.typical()
	var best *server
	var bestTime float64
	for _, avoid := range []bool{true, false} {
		for _, s := range svc.servers {
			if !s.free(now) || avoid && w.avoids(s.Name) {
				continue
			}
			if s.Cold(now) && svc.ColdRate > 0 {
				s.cold.refill(now, svc.ColdRate, coldStartBurst)
				if !p.alone || s.cold.tokens < 1 {
					continue
				}
			}
			t := p.timeAt(now, s, w, typical)
			if best == nil || t < bestTime {
				best, bestTime = s, t
			}
		}
		if best != nil || !w.repeat() {
			break
		}
	}
	if best == nil || !p.admit(now, best, best.Slots, svc) {
		return false
	}
	p.place(now, best, w)
	return true
}

// admit takes a slot of the server, and a token while it is cold.
func (p *Scheduler) admit(now time.Time, s *server, limit int, svc *service) bool {
	if !p.alone && s.Cold(now) && svc.ColdRate > 0 {
		return false
	}
	return s.admit(now, limit, svc.ColdRate)
}

// timeAt estimates the time to an answer; a small random part spreads equal servers.
func (p *Scheduler) timeAt(now time.Time, s *server, w *waiting, typical float64) float64 {
	t := s.expected(now, typical)
	t *= 1 + 0.1*float64(len(s.running)) + 0.02*p.random.Float64()
	if s.Domain != w.Domain {
		t += crossDomainPenalty.Seconds()
		if w.Large {
			t += largeCrossDomainPenalty.Seconds()
		}
	}
	return t
}

func (a *Attempt) avoids(server string) bool {
	for _, s := range a.Tried {
		if s == server {
			return true
		}
	}
	return false
}
