package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/membership"
)

var _ PeerSource = (*membership.Tracker)(nil)

var testShard = key.ShardID{Service: "bookings", Index: 2}

// cluster runs several Runners in one synctest bubble with a simulated network.
type cluster struct {
	t         *testing.T
	store     *fakeStore
	processes []*process
	domains   []string
	shards    []authority.ShardSpec

	mu sync.Mutex
	// unreachable reports whether two instances cannot reach each other. With
	// nil, all can.
	unreachable func(a, b *process) bool
	// longestGap is the longest time without a holder during the last observe.
	longestGap, currentGap time.Duration
	overlaps               int
}

// runCluster calls run with a cluster of count instances in virtual time, and
// checks that no two of them held the shard at once. The default domains are a,
// b and c.
func runCluster(t *testing.T, count int, run func(is *is.I, c *cluster), domains ...string) {
	if len(domains) == 0 {
		domains = []string{"a", "b", "c"}
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, count, domains...)
		run(is, c)
		is.Equal(c.overlaps, 0)
	})
}

// newCluster starts count instances, distributed over the domains round-robin.
func newCluster(t *testing.T, count int, domains ...string) *cluster {
	c := &cluster{t: t, domains: domains, store: newFakeStore()}
	c.shards = []authority.ShardSpec{{ID: testShard, Domains: domains[:min(3, len(domains))]}}
	for i := range count {
		c.start(fmt.Sprintf("i%02d", i), "1", domains[i%len(domains)])
	}
	c.announceInstances()
	t.Cleanup(c.stop)
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) start(name, incarnation, domain string) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cluster: c, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1), since: time.Now()}
	instance := authority.Instance{Name: name, Incarnation: incarnation}
	p.member = authority.Member{Instance: instance, Address: name, Domain: domain}
	p.runner = New(Options{
		Self: p.member, Timing: authority.DefaultTiming(), Store: c.store, WitnessClient: p, Prober: p, Peers: p,
		Random: rand.New(rand.NewPCG(uint64(len(c.processes)), 3)),
	})
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() { defer close(p.done); p.runner.Run(ctx) }()
	if err := p.runner.SetShards(ctx, c.shards); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// partition sets which instances cannot reach each other from now on.
func (c *cluster) partition(unreachable func(a, b *process) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = unreachable
}

// pause blocks the Runner's goroutine, as pausing the process would.
func (p *process) pause() {
	gate := make(chan struct{})
	p.paused.Store(&gate)
	p.changed <- struct{}{}
}

func (p *process) resume() {
	close(*p.paused.Swap(nil))
}

// announceInstances signals to all processes that the list of instances has
// changed.
func (c *cluster) announceInstances() {
	for _, p := range c.processes {
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		if !p.terminated.Load() {
			p.kill()
		}
	}
}

// processAt returns the latest process at an address.
func (c *cluster) processAt(address string) *process {
	for _, p := range slices.Backward(c.processes) {
		if p.member.Address == address {
			return p
		}
	}
	panic("no process at " + address)
}

// holders returns the processes with a valid tenure for the shard.
func (c *cluster) holders(shard key.ShardID) []*process {
	var holders []*process
	for _, p := range c.processes {
		if !p.terminated.Load() && p.runner.Source(shard).Tenure().ValidAt(time.Now(), 0) {
			holders = append(holders, p)
		}
	}
	return holders
}

// followHandOverAdvice releases shards whenever the Runners recommend a
// hand-over.
func (c *cluster) followHandOverAdvice() {
	for _, p := range c.processes {
		go func() {
			for {
				select {
				case <-p.runner.HandOvers():
					_ = p.release(context.Background())
				case <-p.done:
					return
				}
			}
		}()
	}
}

func (c *cluster) holder() *process {
	c.t.Helper()
	holders := c.holders(testShard)
	if len(holders) != 1 {
		c.t.Fatalf("%d holders, want one", len(holders))
	}
	return holders[0]
}

// observe samples the holders every millisecond for d, and records the longest
// gap and any overlap.
func (c *cluster) observe(d time.Duration) {
	c.longestGap, c.currentGap = 0, 0
	for range d / time.Millisecond {
		time.Sleep(time.Millisecond)
		switch len(c.holders(testShard)) {
		case 0:
			c.currentGap += time.Millisecond
		case 1:
			c.currentGap = 0
		default:
			c.overlaps++
		}
		c.longestGap = max(c.longestGap, c.currentGap)
	}
}

func (c *cluster) witnesses() []*process {
	var found []*process
	for _, m := range c.config().Witnesses {
		for _, p := range c.processes {
			if p.member == m {
				found = append(found, p)
			}
		}
	}
	return found
}

// config returns the latest configuration known to any process.
func (c *cluster) config() authority.WitnessConfig {
	var latest authority.WitnessConfig
	for _, p := range c.processes {
		if config := p.runner.Source(testShard).Config(); config != nil && config.Epoch >= latest.Epoch {
			latest = *config
		}
	}
	return latest
}
