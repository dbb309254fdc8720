package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// server is what the placer knows of one life of a backend server.
type server struct {
	fleet.Server
	// out servers get no new work: they leave, or their failure domain is taken out.
	out bool
	// running holds the attempts that are under way.
	running map[AttemptID]time.Time
	// took is the average service time in seconds, or 0 before the first answer.
	took float64
	// speed is the long-term average service time in seconds, or 0.
	speed float64
	// slowness is the last report, made at slownessAt.
	slowness   float64
	slownessAt time.Time
	// pausedUntil is when a server that failed or shed may get work again.
	pausedUntil time.Time
	failures    int
	cold        bucket
	// coldUntil is what the server itself has said of its cold start.
	coldUntil time.Time
	// losses are recent attempts that ended with a connection to this server.
	losses []loss
	// queue holds the requests for keys of this server.
	queue queue
}

func newServer(s fleet.Server) *server {
	return &server{Server: s, running: map[AttemptID]time.Time{}}
}

// Cold reports whether the server bears only little load at now.
func (s *server) Cold(now time.Time) bool {
	return s.Server.Cold(now) || now.Before(s.coldUntil)
}

// expected returns how long a request is likely to take at the server.
func (s *server) expected(now time.Time, fallback float64) float64 {
	took := s.took
	if took == 0 {
		took = fallback
	}
	if now.Sub(s.slownessAt) < slowdownTTL && s.slowness > 0 {
		took *= s.slowness
	}
	return took
}

// free reports whether the server has a free slot and may be given work.
func (s *server) free(now time.Time) bool {
	return s.room(now, s.Slots)
}

// room reports whether the server may be given work up to a number of requests.
func (s *server) room(now time.Time, limit int) bool {
	return !s.out && len(s.running) < limit && !now.Before(s.pausedUntil)
}

// admit takes a slot of up to limit, and a token while the server is cold.
func (s *server) admit(now time.Time, limit int, coldRate float64) bool {
	if !s.room(now, limit) {
		return false
	}
	if coldRate > 0 && s.Cold(now) {
		return s.cold.take(now, coldRate, coldStartBurst)
	}
	return true
}

// finished learns from the end of an attempt.
func (s *server) finished(now time.Time, f Completion) {
	delete(s.running, f.AttemptID)
	if f.Load.Known && f.Load.SlowdownFactor > 0 {
		s.slowness, s.slownessAt = f.Load.SlowdownFactor, now
	}
	switch f.Outcome {
	case Answered:
		s.failures = 0
		s.pausedUntil = time.Time{}
		s.learn(f.Duration)
	case Shed:
		s.pausedUntil = now.Add(shedBackoff)
	case Unreached, Lost:
		s.failures++
		pause := minFailureBackoff << min(s.failures-1, 8)
		s.pausedUntil = now.Add(min(pause, maxFailureBackoff))
	case Abandoned:
		s.learn(f.Duration)
	}
}

// alive returns the losses that did not end the server, as it has answered now.
func (s *server) alive(now time.Time) []loss {
	var survived, open []loss
	for _, l := range s.losses {
		switch age := now.Sub(l.at); {
		case age > maxSurvivalDelay:
		case age >= minSurvivalDelay:
			survived = append(survived, l)
		default:
			open = append(open, l)
		}
	}
	s.losses = open
	return survived
}

func (s *server) learn(took time.Duration) {
	sample := took.Seconds()
	if s.took == 0 {
		s.took, s.speed = sample, sample
		return
	}
	s.took += serviceTimeWeight * (sample - s.took)
	s.speed += longTermWeight * (sample - s.speed)
}
