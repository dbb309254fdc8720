// Package backend simulates the backend servers of the users' platform: they speak its
// published protocol, register themselves in its store and are reached through a proxy
// that injects faults.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

const (
	// missedHeartbeats is after how many missing status reports a server's entry is removed.
	missedHeartbeats = 3
	// reportTimeout bounds one status report.
	reportTimeout = 500 * time.Millisecond
	// drainSlack is how much longer than announced a draining server serves.
	drainSlack = time.Second
)

// errStoreUnreachable is the result of a status report during a cut; the next one follows.
var errStoreUnreachable = errors.New("the store cannot be reached; wait for the end of the cut")

// Server is one backend server over its incarnations.
type Server struct {
	config Config
	name   string
	store  *memstore.Store
	log    *runlog.Log
	owners *Owners
	// arrivals records the requests that reach the server.
	arrivals *Arrivals

	mu      sync.Mutex
	current *incarnation
	starts  int
	// sourceFaults are the faults of connections by source, for all incarnations.
	sourceFaults map[string]tcpproxy.Fault
	// storeUnreachable is set while status reports do not reach the store.
	storeUnreachable bool
}

// NewServer returns a server that is not started. It registers itself in the store.
func NewServer(name string, config Config, store *memstore.Store, log *runlog.Log, owners *Owners, arrivals *Arrivals) *Server {
	return &Server{name: name, config: config, store: store, log: log, owners: owners, arrivals: arrivals}
}

// Start starts a new incarnation with an ID of its own.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return errors.Errorf("backend server %s is already running", s.name)
	}
	s.starts++
	i, err := startIncarnation(fmt.Sprintf("%s.%d", s.name, s.starts), s.config, s.log, s.owners, s.arrivals)
	if err != nil {
		return err
	}
	i.proxy.SetSourceFaults(s.sourceFaults)
	s.current = i
	go s.report(i)
	return nil
}

// ID returns the ID of the running incarnation, or "".
func (s *Server) ID() string {
	if i := s.running(); i != nil {
		return i.id
	}
	return ""
}

// SetFault sets the fault of the connections to the server.
func (s *Server) SetFault(fault tcpproxy.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.proxy.SetFault(fault)
	}
}

// Crash ends the incarnation. Its entry in the store stays until its status reports are missed.
func (s *Server) Crash() {
	if i := s.stop(); i != nil {
		i.crash()
		time.AfterFunc(missedHeartbeats*s.config.Heartbeat, func() { s.store.Delete(storeKey(i.id)) })
	}
}

// Drain announces that the server leaves, serves for as long as the platform's pages
// say and a little longer, and ends the incarnation once its requests have ended.
func (s *Server) Drain(ctx context.Context, drainTime time.Duration) {
	i := s.running()
	if i == nil {
		return
	}
	i.leaving.Store(true)
	s.announce(ctx, i)
	s.end(i, drainTime)
}

// announce writes into the entry of the incarnation that it leaves. It returns false if ctx
// ended before the store accepted that.
func (s *Server) announce(ctx context.Context, i *incarnation) bool {
	i.draining.Store(true)
	for s.put(i) != nil {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(s.config.Heartbeat)
	}
	return true
}

// Leave is Drain, but the server says only in its responses that it leaves. Its entry
// stays as it is until the end.
func (s *Server) Leave(drainTime time.Duration) {
	if i := s.running(); i != nil {
		i.leaving.Store(true)
		s.end(i, drainTime)
	}
}

// Retire is Drain, but the server says only in its entry and its health checks that it
// leaves. acked is called once the store has accepted the entry.
func (s *Server) Retire(ctx context.Context, drainTime time.Duration, acked func(Departure)) {
	i := s.running()
	if i == nil || !s.announce(ctx, i) {
		return
	}
	acked(Departure{Server: i.id, AckedAt: time.Now()})
	s.end(i, drainTime)
}

// end serves on and ends the incarnation once its requests have ended.
func (s *Server) end(i *incarnation, drainTime time.Duration) {
	time.Sleep(drainTime + drainSlack)
	s.stop()
	s.store.Delete(storeKey(i.id))
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	_ = i.http.Shutdown(ctx) // requests that still run are cut off by the crash
	i.crash()
}

// NameLimit makes the server name a rate limit in its responses for the given time.
func (s *Server) NameLimit(perSecond float64, length time.Duration) Limit {
	i := s.running()
	if i == nil {
		return Limit{}
	}
	limit := Limit{Server: i.id, PerSecond: perSecond, From: time.Now()}
	i.limit.Store(&perSecond)
	time.Sleep(length)
	i.limit.Store(nil)
	limit.Until = time.Now()
	return limit
}

// Shed makes the server turn away a share of its requests for the given time, and ask
// each of their senders for a pause.
func (s *Server) Shed(share float64, pause, length time.Duration) {
	if i := s.running(); i != nil {
		i.shedding.Store(&shedding{share: share, pause: pause})
		time.Sleep(length)
		i.shedding.Store(nil)
	}
}

// running returns the running incarnation, or nil.
func (s *Server) running() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Close ends the server without a trace in the store.
func (s *Server) Close() {
	if i := s.stop(); i != nil {
		i.crash()
	}
}

func (s *Server) stop() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.current
	s.current = nil
	return i
}

// report writes the entry of the incarnation until that ends.
func (s *Server) report(i *incarnation) {
	ticker := time.NewTicker(s.config.Heartbeat)
	defer ticker.Stop()
	missed := 0
	for s.running() == i {
		// The store may be down; the next report follows.
		if !errors.Is(s.put(i), errStoreUnreachable) {
			missed = 0
		} else if missed++; missed == missedHeartbeats {
			s.store.Delete(storeKey(i.id))
		}
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
	}
}

// put writes the entry of the incarnation once.
func (s *Server) put(i *incarnation) error {
	if !s.reachesStore() {
		return errStoreUnreachable
	}
	state := "ready"
	if i.draining.Load() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"address": i.address, "born": i.startedAt.UnixMilli(),
		"info":   map[string]any{"service": s.config.Service, "zone": s.config.Domain, "slots": s.config.Slots, "version": "1"},
		"status": map[string]any{"state": state, "sequence": i.sequence.Add(1), "cold_remaining_s": 0.0},
	})
	if err != nil {
		return errors.Wrap(err, "encode the entry of a backend server")
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	entry, err := s.store.Get(ctx, storeKey(i.id))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, storeKey(i.id), entry.Revision, value, "")
	return err
}

func storeKey(id string) string {
	return "servers/" + id
}
