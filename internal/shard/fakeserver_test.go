package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/request"
)

var errRefused = errors.New("connection refused")

// fakeServer enforces grants on its own clock. Messages to it arrive even when
// the caller has given up. The world's lock guards its state.
type fakeServer struct {
	world        *world
	name         string
	checksTokens bool
	started      time.Time
	incarnation  string
	highest      authority.Token
	ranges       []key.Range
	until        time.Duration
	down         bool
	leaving      bool
	thaw         chan struct{}
	// oneWay is the delay of each message in each direction.
	oneWay time.Duration
}

// clock starts at an odd value, so that no test passes by comparing clocks directly.
func (s *fakeServer) clock() time.Duration {
	return time.Since(s.started) + 77*time.Minute
}

// accepts reports whether the server would run a request for h now, or as soon as
// it is thawed. The caller holds the world's lock.
func (s *fakeServer) accepts(h key.Hash) bool {
	if s.down || s.clock() >= s.until {
		return false
	}
	for _, r := range s.ranges {
		if r.Contains(h) {
			return true
		}
	}
	return false
}

func (s *fakeServer) Grant(ctx context.Context, g backend.Grant) (backend.GrantAnswer, error) {
	type result struct {
		answer backend.GrantAnswer
		err    error
	}
	results := make(chan result, 1)
	s.world.running.Go(func() {
		delay, back := s.delays()
		time.Sleep(delay)
		s.waitThawed()
		answer, err := s.take(g)
		time.Sleep(back)
		results <- result{answer, err}
	})
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
		return backend.GrantAnswer{}, ctx.Err()
	}
}

func (s *fakeServer) delays() (there, back time.Duration) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.oneWay, s.oneWay
}

func (s *fakeServer) waitThawed() {
	s.world.mu.Lock()
	thaw := s.thaw
	s.world.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// take applies a message that has arrived.
func (s *fakeServer) take(g backend.Grant) (backend.GrantAnswer, error) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	answer := backend.GrantAnswer{Clock: s.clock(), Incarnation: s.incarnation, Highest: s.highest, Leaving: s.leaving}
	if s.down {
		return backend.GrantAnswer{}, errRefused
	}
	if s.checksTokens && g.Order.Token.Less(s.highest) {
		return answer, backend.ErrStale
	}
	if g.Expiry == 0 || g.Incarnation != s.incarnation {
		return answer, nil
	}
	if s.checksTokens {
		s.highest = g.Order.Token
	}
	s.ranges, s.until = g.Ranges, g.Expiry
	s.world.check()
	return answer, nil
}

func (s *fakeServer) Send(context.Context, backend.Order, *request.Request) (*request.Answer, error) {
	return nil, errRefused
}
func (s *fakeServer) Health(context.Context) (backend.Health, error) { return backend.Health{}, nil }
func (s *fakeServer) Load(context.Context) (backend.Load, error)     { return backend.Load{}, nil }
func (s *fakeServer) Drain(context.Context, backend.Order) error     { return nil }
func (s *fakeServer) Close()                                         {}

// fakeGate is warm unless marked cold, and warms up after a while.
type fakeGate struct {
	warmAt time.Time
}

func (g *fakeGate) MarkCold(string)        { g.warmAt = time.Now().Add(2 * time.Second) }
func (g *fakeGate) MarkLeaving(bool)       {}
func (g *fakeGate) Cold() bool             { return time.Now().Before(g.warmAt) }
func (g *fakeGate) Latency() time.Duration { return time.Millisecond }
