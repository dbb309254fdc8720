package shard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/runner"
	"peridotmoor.org/peridotmoor/internal/store"
)

// electedProcess is one process of an instance, with the product's authority and runtime.
type electedProcess struct {
	cluster      *electedCluster
	number       int
	member       authority.Member
	runner       *runner.Runner
	runtime      *Runtime
	cancel       context.CancelFunc
	done         chan struct{}
	peersChanged chan struct{}
	// terminated and leaving are guarded by the lock of the test cluster.
	terminated bool
	leaving    bool
	since      time.Time
}

// start starts the numbered process of an instance.
func (c *electedCluster) start(instance, number int) *electedProcess {
	name := fmt.Sprintf("i%d", instance)
	ctx, cancel := context.WithCancel(context.Background())
	p := &electedProcess{
		cluster: c, number: number, cancel: cancel, done: make(chan struct{}), peersChanged: make(chan struct{}, 1), since: time.Now(),
		member: authority.Member{
			Instance: authority.Instance{Name: name, Incarnation: fmt.Sprint(number)}, Address: name, Domain: fmt.Sprintf("d%d", instance%3),
		},
	}
	seed := uint64(instance*100 + number)
	p.runner = runner.New(runner.Options{
		Self: p.member, Timing: authority.DefaultTiming(), Store: &cutStore{Store: c.records, process: p}, WitnessClient: p, Prober: p, Peers: p,
		Random: rand.New(rand.NewPCG(seed, 3)),
	})
	p.runtime = New(Options{
		Shard: testShard, Tenures: p.source(), AssignmentStore: p, Config: NewConfigSource(c.config()),
		NewTarget: c.targetFor(p.member.Domain), LimiterFor: c.limiterFor, Random: rand.New(rand.NewPCG(seed, 4)),
	})
	c.instances = append(c.instances, &fakeInstance{runtime: p.runtime, cancel: func() {}})
	go func() {
		defer close(p.done)
		p.runner.Run(ctx)
	}()
	c.goroutines.Go(func() { p.runtime.Run(ctx) })
	c.goroutines.Go(func() { p.followAdvice(ctx) })
	c.goroutines.Go(func() { _ = p.runner.SetShards(ctx, c.specs()) })
	return p
}

func (p *electedProcess) source() *runner.Source { return p.runner.Source(testShard) }

func (p *electedProcess) kill() {
	p.cluster.withLock(func() { p.terminated = true })
	p.cancel()
	<-p.done
}

func (p *electedProcess) followAdvice(ctx context.Context) {
	for {
		select {
		case <-p.runner.HandOvers():
			p.release()
		case <-ctx.Done():
			return
		}
	}
}

// release hands the shard over as the product does.
func (p *electedProcess) release() {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if since, err := p.runtime.RevokeGrants(ctx); err == nil {
		_ = p.runner.Release(ctx, testShard, since)
	}
}

// Peers implements runner.PeerSource. The list does not know of cuts.
func (p *electedProcess) Peers() []authority.Peer {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var peers []authority.Peer
	for _, other := range p.cluster.processes {
		if !other.terminated {
			peers = append(peers, authority.Peer{Member: other.member, Live: !other.leaving, Leaving: other.leaving, LiveChangedAt: other.since})
		}
	}
	return peers
}

// Changed implements runner.PeerSource.
func (p *electedProcess) Changed() <-chan struct{} { return p.peersChanged }

func (p *electedProcess) reach(ctx context.Context, address string) (*electedProcess, error) {
	p.cluster.mu.Lock()
	var to *electedProcess
	for _, other := range p.cluster.processes {
		if other.member.Address == address {
			to = other
		}
	}
	p.cluster.mu.Unlock()
	err := p.cluster.deliver(ctx, p.member.Domain, to.member.Domain)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if errors.Is(err, errConnectionRefused) || err == nil && to.terminated {
		return nil, authority.ErrConnectionRefused
	}
	return to, err
}

// Promise implements authority.WitnessClient.
func (p *electedProcess) Promise(ctx context.Context, _ authority.Instance, address string, request authority.PromiseRequest) (authority.PromiseReply, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return authority.PromiseReply{}, err
	}
	reply, err := to.runner.HandlePromise(ctx, request)
	if err != nil {
		return reply, err
	}
	return reply, p.cluster.deliver(ctx, to.member.Domain, p.member.Domain)
}

// Probe implements authority.Prober.
func (p *electedProcess) Probe(ctx context.Context, address string) (authority.Instance, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return authority.Instance{}, err
	}
	return to.member.Instance, p.cluster.deliver(ctx, to.member.Domain, p.member.Domain)
}

// Load implements AssignmentStore. Without the store it returns the copy of a witness.
func (p *electedProcess) Load(ctx context.Context) (assign.Assignment, error) {
	return p.cluster.store.Load(ctx)
}

// Commit implements AssignmentStore. A holder does not replace the commit of a later one.
func (p *electedProcess) Commit(ctx context.Context, next assign.Assignment) error {
	tenure := p.source().Tenure()
	called, answered := p.cluster.reachesStore(p.member.Domain)
	if tenure == nil || !called {
		return store.ErrUnavailable
	}
	superseded := false
	p.cluster.withLock(func() {
		if superseded = tenure.Token.Less(p.cluster.committedToken); !superseded {
			p.cluster.committedToken = tenure.Token
		}
	})
	if superseded {
		return store.ErrConflict
	}
	if err := p.cluster.store.Commit(ctx, next); err != nil {
		return err
	}
	if !answered {
		return store.ErrUncertain
	}
	return nil
}
