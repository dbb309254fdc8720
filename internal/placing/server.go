package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// server is what the placer knows of one life of a backend server.
type server struct {
	fleet.Server
	// excluded servers get no new work: they leave, or their failure domain is taken excluded.
	excluded bool
	// inFlight holds the attempts that are under way.
	inFlight map[AttemptID]time.Time
	// serviceTime is the average service time in seconds, or 0 before the first answer.
	serviceTime float64
	// longTermServiceTime is the long-term average service time in seconds, or 0.
	longTermServiceTime float64
	// slowdownFactor is the last report, made at slownessAt.
	slowdownFactor   float64
	slowdownAt time.Time
	// backoffUntil is when a server that failed or shed may get work again.
	backoffUntil time.Time
	consecutiveFailures    int
	coldTokens        tokenBucket
	// reportedColdUntil is what the server itself has said of its cold start.
	reportedColdUntil time.Time
	// recentLosses are recent attempts that ended with a connection to this server.
	recentLosses []lostAttempt
	// queue holds the requests for keys of this server.
	queue queue
}

func newServer(s fleet.Server) *server {
	return &server{Server: s, inFlight: map[AttemptID]time.Time{}}
}

// Cold reports whether the server bears only little load at now.
func (s *server) Cold(now time.Time) bool {
	return s.Server.Cold(now) || now.Before(s.reportedColdUntil)
}

// expectedServiceTime returns how long a request is likely to take at the server.
func (s *server) expectedServiceTime(now time.Time, fallback float64) float64 {
	took := s.serviceTime
	if took == 0 {
		took = fallback
	}
	if now.Sub(s.slowdownAt) < slowdownTTL && s.slowdownFactor > 0 {
		took *= s.slowdownFactor
	}
	return took
}

// hasFreeSlot reports whether the server has a hasFreeSlot slot and may be given work.
func (s *server) hasFreeSlot(now time.Time) bool {
	return s.hasCapacity(now, s.Slots)
}

// hasCapacity reports whether the server may be given work up to a number of requests.
func (s *server) hasCapacity(now time.Time, limit int) bool {
	return !s.excluded && len(s.inFlight) < limit && !now.Before(s.backoffUntil)
}

// tryAdmit takes a slot of up to limit, and a token while the server is cold.
func (s *server) tryAdmit(now time.Time, limit int, coldRate float64) bool {
	if !s.hasCapacity(now, limit) {
		return false
	}
	if coldRate > 0 && s.Cold(now) {
		return s.coldTokens.take(now, coldRate, coldStartBurst)
	}
	return true
}

// recordCompletion learns from the end of an attempt.
func (s *server) recordCompletion(now time.Time, f Completion) {
	delete(s.inFlight, f.AttemptID)
	if f.Load.Known && f.Load.SlowdownFactor > 0 {
		s.slowdownFactor, s.slowdownAt = f.Load.SlowdownFactor, now
	}
	switch f.Outcome {
	case Answered:
		s.consecutiveFailures = 0
		s.backoffUntil = time.Time{}
		s.recordServiceTime(f.Duration)
	case Shed:
		s.backoffUntil = now.Add(shedBackoff)
	case Unreached, Lost:
		s.consecutiveFailures++
		pause := minFailureBackoff << min(s.consecutiveFailures-1, 8)
		s.backoffUntil = now.Add(min(pause, maxFailureBackoff))
	case Abandoned:
		s.recordServiceTime(f.Duration)
	}
}

// takeSurvivedLosses returns the losses that did not end the server, as it has answered now.
func (s *server) takeSurvivedLosses(now time.Time) []lostAttempt {
	var survived, open []lostAttempt
	for _, l := range s.recentLosses {
		switch age := now.Sub(l.at); {
		case age > maxSurvivalDelay:
		case age >= minSurvivalDelay:
			survived = append(survived, l)
		default:
			open = append(open, l)
		}
	}
	s.recentLosses = open
	return survived
}

func (s *server) recordServiceTime(took time.Duration) {
	sample := took.Seconds()
	if s.serviceTime == 0 {
		s.serviceTime, s.longTermServiceTime = sample, sample
		return
	}
	s.serviceTime += serviceTimeWeight * (sample - s.serviceTime)
	s.longTermServiceTime += longTermWeight * (sample - s.longTermServiceTime)
}
