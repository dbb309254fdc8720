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

// testCluster is a shard with fake servers and instances. One lock guards all servers;
// checkSingleOwner compares what they accept after every grant.
type testCluster struct {
	mu            sync.Mutex
	goroutines    sync.WaitGroup
	stop          chan struct{}
	interval      key.Range
	store         *fakeStore
	servers       []*fakeServer
	settings      []ServerConfig
	unkeyed       bool
	instances     []*fakeInstance
	currentHolder *fakeInstance
	ballot        uint64
	promisesEnd   time.Time
	sampledHashes []key.Hash
	// violations are the invariants that were found broken.
	violations []string
	// unservedSince holds since when a hash is not served, longestGap the longest such
	// time.
	unservedSince map[key.Hash]time.Time
	longestGap    time.Duration
	// gaps holds the longest time without service of each hash since waitUntilServed.
	gaps map[key.Hash]time.Duration
	// naiveMode counts a hash as served when any server accepts it.
	naiveMode bool
}

// withTestCluster runs body in virtual time with a shard of n servers in three failure
// domains. Every third server does not check tokens.
func withTestCluster(t *testing.T, n int, body func(t *testing.T, tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(n)
		tc.elect(tc.addInstance())
		tc.goroutines.Go(tc.watchService)
		defer tc.stopAndReport(t)
		body(t, tc)
	})
}

func newTestCluster(n int) *testCluster {
	tc := &testCluster{
		stop:          make(chan struct{}),
		store:         &fakeStore{latency: 3 * time.Millisecond},
		unservedSince: map[key.Hash]time.Time{},
		gaps:          map[key.Hash]time.Duration{},
	}
	for i := range n {
		name := fmt.Sprintf("s%02d", i)
		tc.servers = append(tc.servers, &fakeServer{
			cluster: tc, name: name, checksTokens: i%3 != 2, startedAt: time.Now(),
			incarnation: "1", oneWayDelay: 1500 * time.Microsecond,
		})
		tc.settings = append(tc.settings, ServerConfig{
			Name: name, Domain: fmt.Sprintf("d%d", i%3), Address: name, ChecksTokens: i%3 != 2, Slots: 3,
		})
	}
	for i := range 25 {
		tc.sampledHashes = append(tc.sampledHashes, key.Hash(i)*(1<<64/25)+key.Hash(i*7919))
	}
	return tc
}

func (tc *testCluster) stopAndReport(t *testing.T) {
	tc.stopAll()
	for _, violation := range tc.violations {
		t.Error(violation)
	}
}

// stopAll ends all goroutines of the cluster.
func (tc *testCluster) stopAll() {
	close(tc.stop)
	tc.mu.Lock()
	for _, s := range tc.servers {
		s.setFrozen(false)
	}
	tc.mu.Unlock()
	for _, instance := range tc.instances {
		instance.cancel()
	}
	if tc.currentHolder != nil {
		close(tc.currentHolder.cutOff)
	}
	tc.goroutines.Wait()
}

func (tc *testCluster) config() *Config {
	c := DefaultConfig()
	c.Keyed = !tc.unkeyed
	c.Servers = append([]ServerConfig{}, tc.settings...)
	return &c
}

// setOutOfService changes the state of a failure domain in the settings of all
// instances.
func (tc *testCluster) setOutOfService(domain string, outOfService bool) {
	for i := range tc.settings {
		if tc.settings[i].Domain == domain {
			tc.settings[i].OutOfService = outOfService
		}
	}
	for _, instance := range tc.instances {
		instance.runtime.options.Config.Set(tc.config())
	}
}

func (tc *testCluster) newTarget(config ServerConfig) *route.Target {
	for _, s := range tc.servers {
		if s.name == config.Address {
			return &route.Target{Name: config.Name, Domain: config.Domain, Server: s, ChecksTokens: config.ChecksTokens}
		}
	}
	return nil
}

func (tc *testCluster) limiterFor(*route.Target) Limiter { return &fakeLimiter{} }

func (tc *testCluster) withLock(change func()) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	change()
}

// setFrozen freezes or resumes the server. Its clock keeps running, and messages that
// arrive meanwhile are handled when it resumes.
func (s *fakeServer) setFrozen(frozen bool) {
	if frozen && s.resume == nil {
		s.resume = make(chan struct{})
	}
	if !frozen && s.resume != nil {
		close(s.resume)
		s.resume = nil
	}
}

// setDown ends the process, or starts it again with another incarnation and clock.
func (s *fakeServer) setDown(down bool) {
	if s.down && !down {
		s.incarnation += "x"
		s.startedAt = time.Now()
		s.ranges, s.grantedUntil = nil, 0
	}
	s.down = down
}

func (tc *testCluster) server(name string) *fakeServer {
	for _, s := range tc.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (tc *testCluster) domainOf(name string) string {
	for _, config := range tc.settings {
		if config.Name == name {
			return config.Domain
		}
	}
	return ""
}

// committedRange returns the stored range that contains h.
func (tc *testCluster) committedRange(h key.Hash) assign.Range {
	a, _ := tc.store.committed()
	for _, r := range a.Ranges {
		if r.Bounds.Contains(h) {
			return r
		}
	}
	return assign.Range{}
}
