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

// localScheduler chooses servers without the holder. It sends nothing to cold servers
// and nothing a second time, since those bounds hold for all instances together.
type localScheduler struct {
	domain   string
	registry *facts.Board
	inFlight sync.Map // server name to *atomic.Int64, what this instance sends there
	attempts sync.Map // ticket number to server name
}

func newLocalScheduler(domain string, board *facts.Board) *localScheduler {
	return &localScheduler{domain: domain, registry: board}
}

func (l *localScheduler) inFlightCounter(server string) *atomic.Int64 {
	if n, ok := l.inFlight.Load(server); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.inFlight.LoadOrStore(server, new(atomic.Int64))
	return n.(*atomic.Int64)
}

func (l *localScheduler) place(now time.Time, ask placing.Attempt) placing.Decision {
	refused := placing.Decision{AttemptID: ask.AttemptID, Reason: placing.ReasonNoHolder, RetryAfter: holderBackoff}
	if len(ask.Tried) > 0 {
		return refused
	}
	server := l.chooseServer(now, ask)
	if server == "" || l.inFlightCounter(server).Load() >= maxLocalInFlight {
		return refused
	}
	l.inFlightCounter(server).Add(1)
	l.attempts.Store(ask.AttemptID.Number, server)
	return placing.Decision{AttemptID: ask.AttemptID, Server: server}
}

func (l *localScheduler) chooseServer(now time.Time, ask placing.Attempt) string {
	view := l.registry.View()
	usable := func(s *fleet.Server) bool {
		return s != nil && s.Service == ask.Service && view.Usable(s) && !s.Cold(now)
	}
	if ask.Key != placing.NoKey {
		name, held := view.Owner(ask.Service, ask.Key)
		if !held || !usable(view.Server(name)) {
			return ""
		}
		return name
	}
	var names []string
	for i := range view.Servers {
		if usable(&view.Servers[i]) {
			names = append(names, view.Servers[i].Name)
		}
	}
	best, _ := choice.Two(rand.New(rand.NewPCG(rand.Uint64(), 0)), len(names), func(i int) choice.Score {
		return choice.Score{Outstanding: int(l.inFlightCounter(names[i]).Load())}
	})
	if best < 0 {
		return ""
	}
	return names[best]
}

func (l *localScheduler) complete(f placing.Completion) {
	if server, ok := l.attempts.LoadAndDelete(f.AttemptID.Number); ok {
		l.inFlightCounter(server.(string)).Add(-1)
	}
}
