package placing

import (
	"time"
)

// KeyRates returns the request rates of a service's keys as of now, or nil.
func (sched *Scheduler) KeyRates(now time.Time, name string) *KeyRates {
	svc := sched.services[name]
	if svc == nil {
		return nil
	}
	svc.keyRates.Decay(now)
	return svc.keyRates
}

// Running returns how many requests are under way at a server.
func (sched *Scheduler) Running(name, id string) int {
	if svc := sched.services[name]; svc != nil && svc.servers[id] != nil {
		return len(svc.servers[id].inFlight)
	}
	return 0
}

// ServiceTime returns the usual service time of a server in seconds.
func (sched *Scheduler) ServiceTime(name, id string) float64 {
	svc := sched.services[name]
	if svc == nil {
		return defaultServiceTime.Seconds()
	}
	if s := svc.servers[id]; s != nil && s.longTermServiceTime > 0 {
		return max(s.longTermServiceTime, s.serviceTime/2) // a server that has become slow shows soon
	}
	return svc.typicalServiceTime()
}

func (s *service) typicalServiceTime() float64 {
	if s.serviceTime == 0 {
		return defaultServiceTime.Seconds()
	}
	return s.serviceTime
}

func (s *service) recordServiceTime(took time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = took.Seconds()
		return
	}
	s.serviceTime += serviceTimeWeight * (took.Seconds() - s.serviceTime)
}
