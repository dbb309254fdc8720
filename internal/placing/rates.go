package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// noLimit is SetLimits' function before the first call: no server names a limit.
func noLimit(fleet.Incarnation) backpressure.Limit { return backpressure.Limit{} }

// SetShare sets the share of the limits that servers name which this scheduler may use. It
// is below 1 while another holder may assign requests too.
func (sched *Scheduler) SetShare(share float64) {
	sched.share = share
}

// SetExclusive sets whether this scheduler alone may use what is not shared among holders:
// only then it assigns requests to cold servers and allows retries.
func (sched *Scheduler) SetExclusive(exclusive bool) {
	sched.exclusive = exclusive
}

// SetLimits replaces the rate limits that servers name, also of servers that are added later.
func (sched *Scheduler) SetLimits(limitOf func(fleet.Incarnation) backpressure.Limit) {
	sched.limitOf = limitOf
	for _, svc := range sched.services {
		for _, s := range svc.servers {
			s.limit = limitOf(s.Incarnation)
		}
	}
}

// rateLimit returns the limit on the rate of the server at now, or false if there is
// none: the lower one of its cold start and of the limit that it names. While another
// holder may assign requests too, of the limit that a server names this holder uses its
// share, and a cold server gets nothing unless this scheduler is exclusive.
func (sched *Scheduler) rateLimit(now time.Time, s *server, svc *service) (rateLimit, bool) {
	rate, named := s.limit.Rate()
	limit := rateLimit{perSecond: rate * sched.share, reason: ReasonLimit}
	if svc.ColdRate == 0 || !s.Cold(now) {
		return limit, named
	}
	cold := rateLimit{perSecond: svc.ColdRate, reason: ReasonCold, blocked: !sched.exclusive}
	if named && limit.perSecond < cold.perSecond && !cold.blocked {
		return limit, true
	}
	return cold, true
}

// tryAdmit reports whether the server may run one more request, with at most maxRunning
// in all. While its rate is limited, that takes a token.
func (sched *Scheduler) tryAdmit(now time.Time, s *server, maxRunning int, svc *service) bool {
	if !s.hasCapacity(now, maxRunning) {
		return false
	}
	limit, limited := sched.rateLimit(now, s, svc)
	return !limited || !limit.blocked && s.tokens.take(now, limit.perSecond, limit.burst())
}

// hasToken reports whether the rate of the server allows one more request now.
func (sched *Scheduler) hasToken(now time.Time, s *server, svc *service) bool {
	limit, limited := sched.rateLimit(now, s, svc)
	if !limited {
		return true
	}
	s.tokens.refill(now, limit.perSecond, limit.burst())
	return !limit.blocked && s.tokens.tokens >= 1
}

// throughput returns how many requests/s the usable servers run at most, with the given
// service time in seconds, and why they do not run more.
func (sched *Scheduler) throughput(svc *service, serviceTime float64) (float64, Reason) {
	total, reason := 0.0, ReasonLimit
	for _, s := range svc.list {
		if s.excluded {
			continue
		}
		capacity := float64(s.Slots) / serviceTime
		if rate, limited := s.limit.Rate(); limited {
			capacity = min(capacity, rate*sched.share)
		} else {
			reason = ReasonOverload
		}
		total += capacity
	}
	return total, reason
}
