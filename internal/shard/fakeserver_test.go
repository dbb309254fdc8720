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

var errConnectionRefused = errors.New("connection refused")

// fakeServer enforces grants by its own clock. Messages reach it even when the caller
// has given up. The lock of the test cluster guards its state.
type fakeServer struct {
	cluster      *testCluster
	name         string
	checksTokens bool
	startedAt    time.Time
	incarnation  string
	highestToken authority.Token
	ranges       []key.Range
	grantedUntil time.Duration
	down         bool
	leaving      bool
	// resume is not nil while the server is frozen. It is closed when the server resumes.
	resume chan struct{}
	// oneWayDelay is the delay of a message in each direction.
	oneWayDelay time.Duration
}

// clock starts at an odd value, so that no test passes by comparing the clocks of two
// processes directly.
func (s *fakeServer) clock() time.Duration {
	return time.Since(s.startedAt) + 77*time.Minute
}

// accepts reports whether the server would run a request for h now, or as soon as it
// resumes. The caller holds the lock of the test cluster.
func (s *fakeServer) accepts(h key.Hash) bool {
	if s.down || s.clock() >= s.grantedUntil {
		return false
	}
	for _, r := range s.ranges {
		if r.Contains(h) {
			return true
		}
	}
	return false
}

func (s *fakeServer) Grant(ctx context.Context, g backend.Grant) (backend.GrantResponse, error) {
	type result struct {
		response backend.GrantResponse
		err      error
	}
	results := make(chan result, 1)
	s.cluster.goroutines.Go(func() {
		requestDelay, responseDelay := s.delays()
		time.Sleep(requestDelay)
		s.waitUntilResumed()
		response, err := s.applyGrant(g)
		time.Sleep(responseDelay)
		results <- result{response, err}
	})
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return backend.GrantResponse{}, ctx.Err()
	}
}

func (s *fakeServer) delays() (request, response time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.oneWayDelay, s.oneWayDelay
}

func (s *fakeServer) waitUntilResumed() {
	s.cluster.mu.Lock()
	resume := s.resume
	s.cluster.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// applyGrant handles a message that has arrived.
func (s *fakeServer) applyGrant(g backend.Grant) (backend.GrantResponse, error) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	response := backend.GrantResponse{Clock: s.clock(), Incarnation: s.incarnation, Highest: s.highestToken, Leaving: s.leaving}
	if s.down {
		return backend.GrantResponse{}, errConnectionRefused
	}
	if s.checksTokens && g.Order.Token.Less(s.highestToken) {
		return response, backend.ErrHigherToken
	}
	if g.Expiry == 0 || g.Incarnation != s.incarnation {
		return response, nil
	}
	if s.checksTokens {
		s.highestToken = g.Order.Token
	}
	s.ranges, s.grantedUntil = g.Ranges, g.Expiry
	s.cluster.checkSingleOwner()
	return response, nil
}

func (s *fakeServer) Send(context.Context, backend.Order, *request.Request) (*request.Response, error) {
	return nil, errConnectionRefused
}
func (s *fakeServer) Health(context.Context) (backend.Health, error) { return backend.Health{}, nil }
func (s *fakeServer) Load(context.Context) (backend.Load, error)     { return backend.Load{}, nil }
func (s *fakeServer) Drain(context.Context, backend.Order) error     { return nil }
func (s *fakeServer) Close()                                         {}

// fakeLimiter is warm unless marked cold, and warms up within two seconds.
type fakeLimiter struct {
	warmFrom time.Time
}

func (l *fakeLimiter) MarkCold(string)        { l.warmFrom = time.Now().Add(2 * time.Second) }
func (l *fakeLimiter) MarkLeaving(bool)       {}
func (l *fakeLimiter) Cold() bool             { return time.Now().Before(l.warmFrom) }
func (l *fakeLimiter) Latency() time.Duration { return time.Millisecond }
