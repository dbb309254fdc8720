package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// server is the scheduler's state of one incarnation of a backend server.
type server struct {
	fleet.Server
	// excluded servers get no new work: they are leaving, or their failure domain is taken out.
	excluded bool
	// inFlight maps the attempts that run at the server to their deadlines.
	inFlight map[AttemptID]time.Time
	// serviceTime is the moving average of the service time in seconds, or 0 before
	// the first sample.
	serviceTime float64
	// longTermServiceTime averages over more samples than serviceTime.
	longTermServiceTime float64
	// base is the service time apart from momentary slowdowns and waiting.
	base baseTime
	// inheritedTime is the service time relative to the average of the service, as an earlier
	// holder or an earlier process of the server has shown, or 0.
	inheritedTime float64
	// slowdownFactor was last reported by the server at slowdownAt.
	slowdownFactor float64
	slowdownAt     time.Time
	// backoffUntil is when a server that failed or shed a request may get work again.
	backoffUntil        time.Time
	consecutiveFailures int
	// pauses holds until when the server wants no requests from an instance, by instance.
	pauses map[string]time.Time
	// limit is the rate limit that the server names.
	limit backpressure.Limit
	// tokens limits the rate of the server while it is cold or names a limit.
	tokens tokenBucket
	// reportedColdUntil is the end of the cold start as reported by the server itself.
	reportedColdUntil time.Time
	// heardAt is when the server was last known, by its responses, not to be leaving.
	heardAt time.Time
	// recentLosses holds recent attempts whose connection to this server was lost.
	recentLosses []lostAttempt
	// queue holds the attempts for keys that this server owns.
	queue queue
	// returns holds the places of refused callers on the schedule of the queue.
	returns returnSchedule
}

func newServer(s fleet.Server) *server {
	return &server{Server: s, inFlight: map[AttemptID]time.Time{}}
}

// Cold reports whether the server is in its cold start at now, by the server list
// or by its own report.
func (s *server) Cold(now time.Time) bool {
	return s.Server.Cold(now) || now.Before(s.reportedColdUntil)
}

// expectedServiceTime returns the expected service time of a request at the server
// in seconds. fallback is used before the first sample.
func (s *server) expectedServiceTime(now time.Time, fallback float64) float64 {
	expected := s.serviceTime
	if expected == 0 {
		expected = fallback
	}
	if s.slowdownFactor > 0 && now.Sub(s.slowdownAt) < slowdownTTL {
		expected *= s.slowdownFactor
	}
	return expected
}

// hasFreeSlot reports whether the server has a free slot and may be given work.
func (s *server) hasFreeSlot(now time.Time) bool {
	return s.hasCapacity(now, s.Slots)
}

// hasCapacity reports whether the server may be given work and runs fewer than
// maxRunning requests.
func (s *server) hasCapacity(now time.Time, maxRunning int) bool {
	return !s.excluded && len(s.inFlight) < maxRunning && !now.Before(s.backoffUntil)
}

// recordCompletion frees the slot of an attempt and updates the server's averages
// and its backoff. A server of a service that is not divided by key misdirects a request
// only if its address belongs to another one: it would do so at once with each request,
// and seem to be free.
func (s *server) recordCompletion(now time.Time, completion Completion, keyed bool) {
	delete(s.inFlight, completion.AttemptID)
	if completion.Load.Known && completion.Load.SlowdownFactor > 0 {
		s.slowdownFactor, s.slowdownAt = completion.Load.SlowdownFactor, now
	}
	if completion.HeardAt.After(s.heardAt) {
		s.heardAt = completion.HeardAt
	}
	outcome := completion.Outcome
	if outcome == Misdirected && !keyed {
		outcome = Unreached
	}
	switch outcome {
	case Answered:
		s.consecutiveFailures = 0
		s.backoffUntil = time.Time{}
		s.recordServiceTime(completion.Duration)
	case Shed:
		s.backoffUntil = now.Add(shedBackoff)
	case Unreached, Lost:
		s.consecutiveFailures++
		backoff := minFailureBackoff << min(s.consecutiveFailures-1, 8)
		s.backoffUntil = now.Add(min(backoff, maxFailureBackoff))
	case Abandoned:
		s.recordServiceTime(completion.Duration)
	case Cancelled: // it would have taken longer, so a short time says nothing
		if s.serviceTime > 0 && completion.Duration.Seconds() > s.serviceTime {
			s.recordServiceTime(completion.Duration)
		}
	}
}

// takeSurvivedLosses removes and returns the lost attempts that the server has
// survived. It is called when the server has answered, which shows that it runs.
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

func (s *server) recordServiceTime(duration time.Duration) {
	sample := duration.Seconds()
	if s.serviceTime == 0 {
		s.serviceTime, s.longTermServiceTime = sample, sample
		return
	}
	s.serviceTime += serviceTimeWeight * (sample - s.serviceTime)
	s.longTermServiceTime += longTermWeight * (sample - s.longTermServiceTime)
}
