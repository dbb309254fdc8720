package placing

import (
	"time"
)

// KeyRates returns the request rates of a service's keys as of now, or nil.
func (p *Scheduler) KeyRates(now time.Time, name string) *KeyRates {
	svc := p.services[name]
	if svc == nil {
		return nil
	}
	svc.heat.Decay(now)
	return svc.heat
}

// Running returns how many requests are under way at a server.
func (p *Scheduler) Running(name, id string) int {
	if svc := p.services[name]; svc != nil && svc.servers[id] != nil {
		return len(svc.servers[id].running)
	}
	return 0
}

// ServiceTime returns the usual service time of a server in seconds.
func (p *Scheduler) ServiceTime(name, id string) float64 {
	svc := p.services[name]
	if svc == nil {
		return defaultServiceTime.Seconds()
	}
	if s := svc.servers[id]; s != nil && s.speed > 0 {
		return max(s.speed, s.took/2) // a server that has become slow shows soon
	}
	return svc.typical()
}

func (s *service) typical() float64 {
	if s.took == 0 {
		return defaultServiceTime.Seconds()
	}
	return s.took
}

func (s *service) learn(took time.Duration) {
	if s.took == 0 {
		s.took = took.Seconds()
		return
	}
	s.took += serviceTimeWeight * (took.Seconds() - s.took)
}
