package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/record"
)

// fakeNetwork connects the mirrors of request records in memory. Calls to an
// unreachable instance get no response.
type fakeNetwork struct {
	mu          sync.Mutex
	mirrors     map[authority.Instance]*record.Mirror
	unreachable map[authority.Instance]bool
	allMirrors  []*record.Mirror
	delay       time.Duration
	// delays are the delays of the first copies, one each; later ones take delay. A
	// copy is delivered even if its sender gives up meanwhile.
	delays []time.Duration
	// fetchDelay is how long a mirror takes to answer a fetch; 0 means delay.
	fetchDelay time.Duration
	// failedFetches is the number of fetches that still fail at once.
	failedFetches int
	// ignoreTokens disables the token check of the mirrors.
	ignoreTokens bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		mirrors:     map[authority.Instance]*record.Mirror{},
		unreachable: map[authority.Instance]bool{},
		delay:       time.Millisecond,
	}
}

func (n *fakeNetwork) add(i authority.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := record.NewMirror(i, record.Options{})
	n.mirrors[i] = m
	n.allMirrors = append(n.allMirrors, m)
}

func (n *fakeNetwork) setUnreachable(i authority.Instance, isUnreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[i] = isUnreachable
}

func (n *fakeNetwork) close() {
	for _, m := range n.allMirrors {
		m.Close()
	}
}

// reach returns the mirror of an instance. If that is unreachable, it blocks until ctx
// ends.
func (n *fakeNetwork) reach(ctx context.Context, i authority.Instance) (*record.Mirror, error) {
	n.mu.Lock()
	m, isUnreachable := n.mirrors[i], n.unreachable[i]
	n.mu.Unlock()
	if m == nil || isUnreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, nil
}

// Copy implements record.MirrorClient.
func (n *fakeNetwork) Copy(ctx context.Context, to authority.Instance, c record.CopyRequest) (record.CopyReply, error) {
	m, err := n.reach(ctx, to)
	if err != nil {
		return record.CopyReply{}, err
	}
	delay := n.nextDelay()
	delivered := make(chan record.CopyReply, 1)
	time.AfterFunc(delay, func() { delivered <- m.Copy(c) })
	select {
	case reply := <-delivered:
		if n.ignoreTokens {
			reply = record.CopyReply{Accepted: true, Highest: c.Token}
		}
		return reply, wait(ctx, n.delay)
	case <-ctx.Done():
		return record.CopyReply{}, ctx.Err()
	}
}

func (n *fakeNetwork) nextDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.delays) == 0 {
		return n.delay
	}
	next := n.delays[0]
	n.delays = n.delays[1:]
	return next
}

// Fetch implements record.MirrorClient.
func (n *fakeNetwork) Fetch(ctx context.Context, to authority.Instance, f record.FetchRequest) ([]record.Record, time.Time, error) {
	m, err := n.reach(ctx, to)
	if err != nil {
		return nil, time.Time{}, err
	}
	n.mu.Lock()
	failed := n.failedFetches > 0
	if failed {
		n.failedFetches--
	}
	n.mu.Unlock()
	if failed {
		return nil, time.Time{}, errors.New("connection reset by peer")
	}
	if err := wait(ctx, max(n.delay, n.fetchDelay)); err != nil {
		return nil, time.Time{}, err
	}
	return m.Fetch(f)
}
