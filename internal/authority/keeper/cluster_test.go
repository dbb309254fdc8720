package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

var testShard = key.ShardID{Service: "bookings", Index: 2}

// cluster runs keepers in one test bubble over a small message network.
type cluster struct {
	t         *testing.T
	store     *fakeStore
	processes []*process
	domains   []string
	shards    []authority.Description

	mu sync.Mutex
	// cut reports whether two instances cannot reach each other; nil cuts nothing.
	cut func(a, b *process) bool
	// unserved is the longest time without a holder since it was last reset.
	unserved, free time.Duration
	overlaps       int
}

// process is one run of an instance.
type process struct {
	cluster *cluster
	member  authority.Member
	keeper  *Keeper
	cancel  context.CancelFunc
	done    chan struct{}
	gone    atomic.Bool
	paused  atomic.Pointer[chan struct{}]
	changed chan struct{}
	since   time.Time
}

// newCluster starts count instances, spread over the domains in turn.
func newCluster(t *testing.T, count int, domains ...string) *cluster {
	c := &cluster{t: t, domains: domains, store: newFakeStore()}
	c.shards = []authority.Description{{ID: testShard, Domains: domains[:min(3, len(domains))]}}
	for i := range count {
		c.start(fmt.Sprintf("i%02d", i), "1", domains[i%len(domains)])
	}
	c.announce()
	t.Cleanup(c.stop)
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) start(name, incarnation, domain string) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cluster: c, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1), since: time.Now()}
	instance := authority.Instance{Name: name, Incarnation: incarnation}
	p.member = authority.Member{Instance: instance, Address: name, Domain: domain}
	p.keeper = New(Options{
		Self: p.member, Timing: authority.DefaultTiming(), Store: c.store, Voter: p, Prober: p, Peers: p,
		Random: rand.New(rand.NewPCG(uint64(len(c.processes)), 3)),
	})
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() { defer close(p.done); p.keeper.Run(ctx) }()
	if err := p.keeper.SetShards(ctx, c.shards); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// kill ends the process; its address refuses connections from then on.
func (p *process) kill() {
	p.gone.Store(true)
	p.cancel()
	if p.paused.Load() != nil {
		p.resume()
	}
	<-p.done
}

// isolate decides from now on which instances cannot reach each other.
func (c *cluster) isolate(cut func(a, b *process) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// pause stops the keeper's goroutine as a paused process would.
func (p *process) pause() {
	gate := make(chan struct{})
	p.paused.Store(&gate)
	p.changed <- struct{}{}
}

func (p *process) resume() {
	close(*p.paused.Swap(nil))
}

// announce tells all processes that the list of instances has changed.
func (c *cluster) announce() {
	for _, p := range c.processes {
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		if !p.gone.Load() {
			p.kill()
		}
	}
}

// Peers implements PeerSource.
func (p *process) Peers() []authority.Peer {
	if gate := p.paused.Load(); gate != nil {
		<-*gate
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var peers []authority.Peer
	for _, other := range p.cluster.processes {
		if !other.gone.Load() {
			peers = append(peers, authority.Peer{Member: other.member, Live: true, Since: other.since})
		}
	}
	return peers
}

// Changed implements PeerSource.
func (p *process) Changed() <-chan struct{} { return p.changed }

// reach returns the process at address after a network delay.
func (p *process) reach(ctx context.Context, address string) (*process, error) {
	time.Sleep(time.Millisecond)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	to := p.cluster.at(address)
	switch {
	case p.cluster.cut != nil && p.cluster.cut(p, to):
		return nil, context.DeadlineExceeded
	case to.gone.Load():
		return nil, authority.ErrRefused
	}
	return to, nil
}

// at returns the latest process at an address.
func (c *cluster) at(address string) *process {
	for _, p := range slices.Backward(c.processes) {
		if p.member.Address == address {
			return p
		}
	}
	panic("no process at " + address)
}

// Promise implements authority.Voter.
func (p *process) Promise(ctx context.Context, _ authority.Instance, address string, request authority.PromiseRequest) (authority.PromiseReply, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return authority.PromiseReply{}, err
	}
	reply, err := to.keeper.HandlePromise(ctx, request)
	time.Sleep(time.Millisecond)
	return reply, err
}

// Probe implements authority.Prober.
func (p *process) Probe(ctx context.Context, address string) (authority.Instance, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return authority.Instance{}, err
	}
	if to.paused.Load() != nil {
		<-ctx.Done()
		return authority.Instance{}, ctx.Err()
	}
	return to.member.Instance, nil
}

// holders returns the processes with a valid tenure.
func (c *cluster) holders(shard key.ShardID) []*process {
	var holders []*process
	for _, p := range c.processes {
		if !p.gone.Load() && p.keeper.Source(shard).Tenure().ValidAt(time.Now(), 0) {
			holders = append(holders, p)
		}
	}
	return holders
}

// followAdvice releases shards as the keepers advise.
func (c *cluster) followAdvice() {
	for _, p := range c.processes {
		go func() {
			for {
				select {
				case advice := <-p.keeper.HandOvers():
					_ = p.keeper.Release(context.Background(), advice.Shard)
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

// watch looks every millisecond for d whether there is exactly one holder.
func (c *cluster) watch(d time.Duration) {
	c.unserved, c.free = 0, 0
	for range d / time.Millisecond {
		time.Sleep(time.Millisecond)
		switch len(c.holders(testShard)) {
		case 0:
			c.free += time.Millisecond
		case 1:
			c.free = 0
		default:
			c.overlaps++
		}
		c.unserved = max(c.unserved, c.free)
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

// config returns the configuration that most recently reached any process.
func (c *cluster) config() authority.Config {
	var latest authority.Config
	for _, p := range c.processes {
		if config := p.keeper.Source(testShard).Config(); config != nil && config.Epoch >= latest.Epoch {
			latest = *config
		}
	}
	return latest
}
