package shard

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

var testShard = key.ShardID{Service: "bosho", Index: 0}

// world is a shard with small fake servers. One lock guards all servers; check
// compares what they accept after every change.
type world struct {
	mu       sync.Mutex
	running  sync.WaitGroup
	stop     chan struct{}
	interval key.Range
	store    *fakeStore
	servers  []*fakeServer
	settings []ServerConfig
	unkeyed  bool
	holders  []*fakeHolder
	holder   *fakeHolder
	ballot   uint64
	promised time.Time
	hashes   []key.Hash
	// faults are the broken invariants.
	faults []string
	// unserved holds since when a hash is not served, longest the longest such time.
	unserved map[key.Hash]time.Time
	longest  time.Duration
	// gaps holds the longest time without service of each hash since settle.
	gaps map[key.Hash]time.Duration
	// naive counts a hash as served when any server accepts it.
	naive bool
}

// inWorld runs body in virtual time with a shard of n servers in three failure
// domains, of which every third does not check tokens.
func inWorld(t *testing.T, n int, body func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(n)
		w.take(w.addHolder())
		w.running.Go(w.watch)
		defer w.close(t)
		body(t, w)
	})
}

func newWorld(n int) *world {
	w := &world{
		stop:     make(chan struct{}),
		store:    &fakeStore{latency: 3 * time.Millisecond},
		unserved: map[key.Hash]time.Time{},
		gaps:     map[key.Hash]time.Duration{},
	}
	for i := range n {
		name := fmt.Sprintf("s%02d", i)
		w.servers = append(w.servers, &fakeServer{
			world: w, name: name, checksTokens: i%3 != 2, started: time.Now(),
			incarnation: "1", oneWay: 1500 * time.Microsecond,
		})
		w.settings = append(w.settings, ServerConfig{
			Name: name, Domain: fmt.Sprintf("d%d", i%3), Address: name, ChecksTokens: i%3 != 2, Slots: 3,
		})
	}
	for i := range 25 {
		w.hashes = append(w.hashes, key.Hash(i)*(1<<64/25)+key.Hash(i*7919))
	}
	return w
}

func (w *world) close(t *testing.T) {
	w.stopAll()
	for _, fault := range w.faults {
		t.Error(fault)
	}
}

// stopAll ends all goroutines of the world.
func (w *world) stopAll() {
	close(w.stop)
	w.mu.Lock()
	for _, s := range w.servers {
		s.setFrozen(false)
	}
	w.mu.Unlock()
	for _, h := range w.holders {
		h.cancel()
	}
	if w.holder != nil {
		close(w.holder.cut)
	}
	w.running.Wait()
}

func (w *world) config() *Config {
	c := DefaultConfig()
	c.Keyed = !w.unkeyed
	c.Servers = append([]ServerConfig{}, w.settings...)
	return &c
}

// setOut changes the state of a failure domain in the settings of all instances.
func (w *world) setOut(domain string, out bool) {
	for i := range w.settings {
		if w.settings[i].Domain == domain {
			w.settings[i].OutOfService = out
		}
	}
	for _, h := range w.holders {
		h.runtime.options.Config.Set(w.config())
	}
}

func (w *world) newTarget(c ServerConfig) *route.Target {
	for _, s := range w.servers {
		if s.name == c.Address {
			return &route.Target{Name: c.Name, Domain: c.Domain, Server: s, ChecksTokens: c.ChecksTokens}
		}
	}
	return nil
}

func (w *world) gateOf(*route.Target) Limiter { return &fakeGate{} }

func (w *world) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// setFrozen stops or resumes the server. Its clock goes on, and what arrives
// meanwhile is handled when it resumes.
func (s *fakeServer) setFrozen(frozen bool) {
	if frozen && s.thaw == nil {
		s.thaw = make(chan struct{})
	}
	if !frozen && s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
	}
}

// setDown ends the process, or starts it anew with another incarnation and clock.
func (s *fakeServer) setDown(down bool) {
	if s.down && !down {
		s.incarnation += "x"
		s.started = time.Now()
		s.ranges, s.until = nil, 0
	}
	s.down = down
}

func (w *world) server(name string) *fakeServer {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (w *world) domainOf(name string) string {
	for _, c := range w.settings {
		if c.Name == name {
			return c.Domain
		}
	}
	return ""
}

// committedRange returns the stored range of h.
func (w *world) committedRange(h key.Hash) assign.Range {
	a, _ := w.store.committed()
	for _, r := range a.Ranges {
		if r.Bounds.Contains(h) {
			return r
		}
	}
	return assign.Range{}
}
