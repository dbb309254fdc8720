package callerhttp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// Server accepts connections from callers.
type Server struct {
	// Memory counts what the connections hold; without it, the account of the process does.
	// It is set before Serve.
	Memory *membudget.Account
	// MaxConnections bounds the open connections; 0 means no bound. It is set before Serve.
	MaxConnections int
	// OnCloseForOthers, when set, is called when a connection is closed because of that bound.
	// It must not block.
	OnCloseForOthers func()
	// OnUntaken, when set, is called when a connection ends with bytes that its caller has not
	// acknowledged. It must not block.
	OnUntaken func(Untaken)
	// evicted is the number of connections that were closed for others and have not ended yet.
	evicted   atomic.Int64
	handler   Handler
	limits    func() Limits
	conns     sync.Map // set of *conn
	connCount atomic.Int64
	draining  atomic.Bool
	// ctx is the parent of the contexts of all connections.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// NewServer returns a server. limits is called for each request.
func NewServer(handler Handler, limits func() Limits) *Server {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Server{handler: handler, limits: limits, ctx: ctx, cancel: cancel}
}

func (s *Server) memory() *membudget.Account {
	if s.Memory == nil {
		return membudget.Default()
	}
	return s.Memory
}

// Serve accepts connections until listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.makeRoom() {
			_ = raw.Close() // nothing was read from it
			continue
		}
		_ = sockopt.LimitUnsentOf(raw) // a connection without the limit serves its caller all the same
		ctx, cancel := context.WithCancelCause(s.ctx)
		c := newConn(s, raw, ctx, cancel)
		s.conns.Store(c, nil)
		s.connCount.Add(1)
		go c.serve()
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	return int(s.connCount.Load())
}

// RequestsInProgress returns the number of requests whose response has not been written
// completely.
func (s *Server) RequestsInProgress() int {
	n := 0
	s.conns.Range(func(key, _ any) bool {
		n += key.(*conn).requests.inProgress()
		return true
	})
	return n
}

// CountUntaken returns the number of open connections whose callers have not acknowledged all
// that was written to them, and how many bytes they have not.
func (s *Server) CountUntaken() (connections, bytes int) {
	s.conns.Range(func(key, _ any) bool {
		if n := key.(*conn).untaken(); n > 0 {
			connections++
			bytes += n
		}
		return true
	})
	return connections, bytes
}

// StartDraining makes each connection end: from its next response on it accepts no further
// request, and the response to the last request in progress announces the close.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// Abort cancels the requests in progress. Their contexts have the given cause. Responses
// that are being streamed are broken off and reported to their OnWriteError.
func (s *Server) Abort(cause error) {
	s.cancel(cause)
}

// CloseIdle closes the connections on which no request is in progress or arriving. It does
// not wait until they are closed.
func (s *Server) CloseIdle() {
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).closeIdle()
		return true
	})
}

func (s *Server) removeConn(c *conn) {
	s.conns.Delete(c)
	s.connCount.Add(-1)
	if c.state.Swap(connRemoved) == connEvicted {
		s.evicted.Add(-1)
	}
}
