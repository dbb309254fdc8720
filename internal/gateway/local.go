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

// local chooses servers without the holder. It sends nothing to cold servers
// and nothing a second time, since those bounds hold for all instances together.
type local struct {
	domain  string
	board   *facts.Board
	running sync.Map // server name to *atomic.Int64, what this instance sends there
	tickets sync.Map // ticket number to server name
}

func newLocal(domain string, board *facts.Board) *local {
	return &local{domain: domain, board: board}
}

func (l *local) count(server string) *atomic.Int64 {
	if n, ok := l.running.Load(server); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.running.LoadOrStore(server, new(atomic.Int64))
	return n.(*atomic.Int64)
}

func (l *local) place(now time.Time, ask placing.Attempt) placing.Decision {
	refused := placing.Decision{AttemptID: ask.AttemptID, Reason: placing.ReasonNoHolder, RetryAfter: suspectFor}
	if len(ask.Tried) > 0 {
		return refused
	}
	server := l.choose(now, ask)
	if server == "" || l.count(server).Load() >= localLimit {
		return refused
	}
	l.count(server).Add(1)
	l.tickets.Store(ask.AttemptID.Number, server)
	return placing.Decision{AttemptID: ask.AttemptID, Server: server}
}

func (l *local) choose(now time.Time, ask placing.Attempt) string {
	view := l.board.View()
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
		return choice.Score{Outstanding: int(l.count(names[i]).Load())}
	})
	if best < 0 {
		return ""
	}
	return names[best]
}

func (l *local) finish(f placing.Completion) {
	if server, ok := l.tickets.LoadAndDelete(f.AttemptID.Number); ok {
		l.count(server.(string)).Add(-1)
	}
}
