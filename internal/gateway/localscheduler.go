package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/choice"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// localScheduler chooses servers without the holder. It uses no cold servers and
// allows no retries, since their limits hold for the whole fleet. Of the limit that a
// server names it uses a share.
type localScheduler struct {
	domain   string
	registry *facts.Registry
	// fleetSize returns the number of instances, or 0 if it is unknown.
	fleetSize func() int
	limiter   shareLimiter
	inFlight  sync.Map // server name to *atomic.Int64, the number of attempts at the server
	attempts  sync.Map // attempt number to server name
	failedAt  sync.Map // server name to the time.Time of its last failure to take a request
}

func newLocalScheduler(domain string, registry *facts.Registry, fleetSize func() int) *localScheduler {
	return &localScheduler{domain: domain, registry: registry, fleetSize: fleetSize}
}

func (l *localScheduler) inFlightCounter(server string) *atomic.Int64 {
	if n, ok := l.inFlight.Load(server); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.inFlight.LoadOrStore(server, new(atomic.Int64))
	return n.(*atomic.Int64)
}

func (l *localScheduler) place(now time.Time, attempt placing.Attempt) placing.Decision {
	refused := placing.Decision{AttemptID: attempt.AttemptID, Reason: placing.ReasonNoHolder, RetryAfter: holderBackoff}
	if len(attempt.Tried) > 0 {
		return refused
	}
	server := l.chooseServer(now, attempt)
	if server == "" || l.inFlightCounter(server).Load() >= maxLocalInFlight {
		return refused
	}
	l.inFlightCounter(server).Add(1)
	l.attempts.Store(attempt.AttemptID.Number, server)
	return placing.Decision{AttemptID: attempt.AttemptID, Server: server}
}

func (l *localScheduler) chooseServer(now time.Time, attempt placing.Attempt) string {
	snapshot := l.registry.Snapshot()
	usable := func(s *fleet.Server) bool {
		return s != nil && s.Service == attempt.Service && snapshot.MaySend(s, now) && !s.Cold(now)
	}
	if attempt.Key != placing.NoKey {
		name, granted := snapshot.Owner(attempt.Service, attempt.Key)
		if owner := snapshot.Server(name); !granted || !usable(owner) || !l.takeShare(now, snapshot, owner) {
			return ""
		}
		return name
	}
	var names []string
	for i := range snapshot.Servers {
		s := &snapshot.Servers[i]
		if _, limited := snapshot.Backpressure.Of(s.Incarnation).Limit.Rate(); usable(s) && !limited && !l.failedRecently(now, s.Name) {
			names = append(names, s.Name)
		}
	}
	if len(names) == 0 {
		for i := range snapshot.Servers {
			if s := &snapshot.Servers[i]; usable(s) && l.takeShare(now, snapshot, s) {
				return s.Name
			}
		}
	}
	best, _ := choice.PowerOfTwo(rand.New(rand.NewPCG(rand.Uint64(), 0)), len(names), func(i int) choice.Score {
		return choice.Score{Outstanding: int(l.inFlightCounter(names[i]).Load())}
	})
	if best < 0 {
		return ""
	}
	return names[best]
}

// takeShare reports whether this instance may send one more request to the server under
// the limit that the server names, if any.
func (l *localScheduler) takeShare(now time.Time, snapshot *facts.Snapshot, server *fleet.Server) bool {
	rate, limited := snapshot.Backpressure.Of(server.Incarnation).Limit.Rate()
	if !limited {
		return true
	}
	instances := l.fleetSize()
	return instances > 0 && l.limiter.take(now, server.Incarnation, localLimitShare*rate/float64(instances))
}

// failedRecently reports whether the server took no request a short while ago. A server
// that refuses connections, or whose address belongs to another one, does so at once and
// would seem to be free.
func (l *localScheduler) failedRecently(now time.Time, server string) bool {
	at, known := l.failedAt.Load(server)
	if known && now.Sub(at.(time.Time)) >= localFailureBackoff {
		l.failedAt.CompareAndDelete(server, at)
		return false
	}
	return known
}

func (l *localScheduler) complete(now time.Time, completion placing.Completion) {
	if completion.Outcome == placing.Unreached || completion.Outcome == placing.Misdirected {
		l.failedAt.Store(completion.Server, now)
	}
	if server, ok := l.attempts.LoadAndDelete(completion.AttemptID.Number); ok {
		l.inFlightCounter(server.(string)).Add(-1)
	}
}
