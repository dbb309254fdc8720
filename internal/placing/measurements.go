package placing

import (
	"time"
)

// KeyRates returns the request rates of the keys of a service as of now, or nil for
// an unknown service.
func (sched *Scheduler) KeyRates(now time.Time, name string) *KeyRates {
	svc := sched.services[name]
	if svc == nil {
		return nil
	}
	svc.keyRates.Decay(now)
	return svc.keyRates
}

// ServiceTime returns the average service time of a server in seconds, as requests see it: with
// slowdowns and waiting at the server. Before its first response, it is what an earlier holder
// has learned of the server.
func (sched *Scheduler) ServiceTime(name, id string) float64 {
	svc := sched.services[name]
	if svc == nil {
		return defaultServiceTime.Seconds()
	}
	s := svc.servers[id]
	if s != nil && s.longTermServiceTime > 0 {
		return max(s.longTermServiceTime, s.serviceTime/2) // react early when a server becomes slow
	}
	if s != nil && s.inheritedTime > 0 {
		return svc.typicalServiceTime() * s.inheritedTime
	}
	return svc.typicalServiceTime()
}

// learnBaseTime updates the base service times, which the record of owners carries, with a
// completion. It is to be called before the attempt frees its slot.
func (s *service) learnBaseTime(server *server, completion Completion) {
	slowdown := 0.0
	if completion.Load.Known {
		slowdown = completion.Load.SlowdownFactor
	}
	if completion.Outcome != Answered {
		return
	}
	sample := normalizedTime(completion.Duration.Seconds(), slowdown, len(server.inFlight), server.Slots)
	server.base.add(sample)
	s.base.add(sample)
}

// typicalServiceTime returns the average service time over all servers in seconds,
// or a default before the first response.
func (s *service) typicalServiceTime() float64 {
	if s.serviceTime == 0 {
		return defaultServiceTime.Seconds()
	}
	return s.serviceTime
}

func (s *service) recordServiceTime(duration time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = duration.Seconds()
		return
	}
	s.serviceTime += serviceTimeWeight * (duration.Seconds() - s.serviceTime)
}

// slowestServiceTime returns the average service time of the slowest usable server in
// seconds. An attempt that any server may run may get that one.
func (s *service) slowestServiceTime() float64 {
	typical := s.typicalServiceTime()
	slowest := typical
	for _, v := range s.list {
		if !v.excluded {
			slowest = max(slowest, v.longTermServiceTime)
		}
	}
	return min(slowest, maxSlowdown*typical)
}
