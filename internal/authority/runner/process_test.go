package runner

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// process is one run of an instance.
type process struct {
	cluster    *cluster
	member     authority.Member
	runner     *Runner
	cancel     context.CancelFunc
	done       chan struct{}
	terminated atomic.Bool
	paused     atomic.Pointer[chan struct{}]
	changed    chan struct{}
	since      time.Time
}

func (p *process) source() *Source { return p.runner.Source(testShard) }

// release releases the shard if the process holds it. It has no grants.
func (p *process) release(ctx context.Context) error {
	since := time.Time{}
	if tenure := p.source().Tenure(); tenure != nil {
		since = tenure.Since
	}
	return p.runner.Release(ctx, testShard, since)
}

// kill terminates the process. Its address refuses connections from then on.
func (p *process) kill() {
	p.terminated.Store(true)
	p.cancel()
	if p.paused.Load() != nil {
		p.resume()
	}
	<-p.done
}

// Peers implements PeerSource.
func (p *process) Peers() []authority.Peer {
	if resume := p.paused.Load(); resume != nil {
		<-*resume
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var peers []authority.Peer
	for _, other := range p.cluster.processes {
		if !other.terminated.Load() {
			peers = append(peers, authority.Peer{Member: other.member, Live: true, LiveChangedAt: other.since})
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
	to := p.cluster.processAt(address)
	switch {
	case p.cluster.unreachable != nil && p.cluster.unreachable(p, to):
		return nil, context.DeadlineExceeded
	case to.terminated.Load():
		return nil, authority.ErrConnectionRefused
	}
	return to, nil
}

// Promise implements authority.WitnessClient.
func (p *process) Promise(ctx context.Context, _ authority.Instance, address string, request authority.PromiseRequest) (authority.PromiseReply, error) {
	to, err := p.reach(ctx, address)
	if err != nil {
		return authority.PromiseReply{}, err
	}
	reply, err := to.runner.HandlePromise(ctx, request)
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
