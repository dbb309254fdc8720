package servers

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/ownership"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// Server is one backend server. Requests read its state through atomics; starts,
// crashes and grants take the lock.
type Server struct {
	config  Config
	log     *runlog.Log
	monitor *ownership.Monitor
	clock   *clock
	freezer freezer

	current         atomic.Pointer[incarnation]
	grants          atomic.Pointer[shardGrants]
	leaving         atomic.Bool
	shedding        atomic.Bool
	slowdownPercent atomic.Int64 // factor in percent
	fault           atomic.Pointer[Fault]
	sequence        atomic.Uint64
	health          *laggedValue[backend.Health]
	healthOverride  atomic.Pointer[backend.Health]
	load            *laggedValue[backend.Load]

	mu      sync.Mutex
	address string
	closed  bool
	// started is set once the first incarnation, which alone may start warm, has started.
	started bool
}

// NewServer returns a server that is not started.
func NewServer(config Config, log *runlog.Log, monitor *ownership.Monitor) *Server {
	config = config.withDefaults()
	s := &Server{
		config:  config,
		log:     log,
		monitor: monitor,
		clock:   newClock(config.ClockDrift, time.Duration(config.Seed%1000)*time.Second),
		health:  newLaggedValue(config.ReportDelay, backend.Health{Accepting: true}),
		load:    newLaggedValue(config.ReportDelay, backend.Load{}),
		address: config.Address,
	}
	s.freezer.blocked = make(chan struct{}, 16)
	s.grants.Store(&shardGrants{})
	s.slowdownPercent.Store(100)
	return s
}

// Start starts the first incarnation, or a new one after a crash.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.Errorf("server %s is closed", s.config.Name)
	}
	if s.current.Load() != nil {
		return errors.Errorf("server %s is already running", s.config.Name)
	}
	first := !s.started
	fresh, err := startIncarnation(s.config, s.address, s.handler)
	if err != nil {
		return err
	}
	if first && s.config.StartWarm {
		fresh.cold.setWarm()
	}
	s.address = fresh.listener.Addr().String()
	s.leaving.Store(false)
	s.started = true
	s.current.Store(fresh)
	s.report()
	return nil
}

// Crash ends the incarnation. Its connections are reset, its executions aborted and its grants dropped.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Swap(nil)
	if current == nil {
		return
	}
	// Stop first: no execution may respond after the grants have ended.
	current.stop()
	s.freezer.thaw()
	for shard := range *s.grants.Load() {
		now := time.Now()
		s.monitor.Set(shard, s.config.Name, nil, now, now)
	}
	s.grants.Store(&shardGrants{})
	s.report()
}

// crashAndRestart crashes the server and starts it again after RestartAfter, as a supervisor would.
func (s *Server) crashAndRestart() {
	s.Crash()
	if s.config.RestartAfter > 0 {
		time.AfterFunc(s.config.RestartAfter, func() { _ = s.Start() })
	}
}

// Close crashes the server; it cannot be started again.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
}

// Address returns host:port of the server; it stays the same after a restart.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Incarnation returns the ID of the running incarnation, or "" after a crash.
func (s *Server) Incarnation() string {
	if current := s.current.Load(); current != nil {
		return current.id
	}
	return ""
}

// Config returns the configuration of the server.
func (s *Server) Config() Config {
	return s.config
}

// report records the current health and load for the delayed reports.
func (s *Server) report() {
	now := time.Now()
	health := backend.Health{Leaving: s.leaving.Load()}
	load := backend.Load{}
	if current := s.current.Load(); current != nil {
		health.Accepting = !health.Leaving && !s.shedding.Load()
		load.Running = int(current.running.Load())
		load.Utilization = float64(load.Running) / float64(s.config.Slots)
	}
	s.health.set(now, health)
	s.load.set(now, load)
}

func (s *Server) handler(i *incarnation) http.Handler {
	routes := http.NewServeMux()
	routes.Handle(backend.PathGrant, s.control(i, s.serveGrant))
	routes.Handle(backend.PathDrain, s.control(i, s.serveDrain))
	routes.Handle(backend.PathHealth, s.control(i, s.serveHealth))
	routes.Handle(backend.PathLoad, s.control(i, s.serveLoad))
	return &requestHandler{server: s, incarnation: i, control: routes}
}
