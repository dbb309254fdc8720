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
// allows no retries, since their limits hold for the whole fleet.
type localScheduler struct {
	domain   string
	registry *facts.Registry
	inFlight sync.Map // server name to *atomic.Int64, the number of attempts at the server
	attempts sync.Map // attempt number to server name
}

func newLocalScheduler(domain string, registry *facts.Registry) *localScheduler {
	return &localScheduler{domain: domain, registry: registry}
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
		if !granted || !usable(snapshot.Server(name)) {
			return ""
		}
		return name
	}
	var names []string
	for i := range snapshot.Servers {
		if usable(&snapshot.Servers[i]) {
			names = append(names, snapshot.Servers[i].Name)
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

func (l *localScheduler) complete(completion placing.Completion) {
	if server, ok := l.attempts.LoadAndDelete(completion.AttemptID.Number); ok {
		l.inFlightCounter(server.(string)).Add(-1)
	}
}
