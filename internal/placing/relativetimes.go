package placing

import (
	"math"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// minRecordedSamples is the number of responses after which a service time is passed on.
	minRecordedSamples = 30
	// inheritedSamples is how many responses an inherited service time counts for.
	inheritedSamples = 60
)

// RelativeTimes returns the service times that this scheduler has learned or inherited.
func (sched *Scheduler) RelativeTimes() fleet.RelativeTimes {
	out := fleet.RelativeTimes{}
	for name, svc := range sched.services {
		if !svc.Keyed {
			continue
		}
		times := map[string]int{}
		for id, s := range svc.servers {
			relative := s.inheritedTime
			if s.base.samples >= minRecordedSamples {
				relative = svc.relativeTime(s)
			}
			if relative > 0 {
				times[id] = int(math.Round(min(100*relative, math.MaxInt16)))
			}
		}
		if len(times) > 0 {
			out[name] = times
		}
	}
	return out.Bounded()
}

// UseRelativeTimes makes the scheduler begin with the service times that an earlier one has
// learned. It is to be called before the first Update.
func (sched *Scheduler) UseRelativeTimes(times fleet.RelativeTimes) {
	sched.inheritedTimes = times.Bounded()
}

// relativeTime returns the service time of the server relative to the average of the service, or
// 0 if it is unknown.
func (s *service) relativeTime(server *server) float64 {
	if server.base.samples == 0 || s.base.seconds == 0 {
		return server.inheritedTime
	}
	return s.baseTimeOf(server) / s.base.seconds
}

// baseTimeOf estimates the base service time of the server in seconds.
func (s *service) baseTimeOf(server *server) float64 {
	if server.inheritedTime > 0 {
		return server.base.estimate(s.base.seconds*server.inheritedTime, inheritedSamples)
	}
	return server.base.estimate(s.base.seconds, baseTimePriorSamples)
}
