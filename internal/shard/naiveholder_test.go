package shard

import (
	"context"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

// naiveHolder is the baseline for the time without service: a plain map behind
// one lock, servers renewed in turn, and a new owner only after the store has
// taken the change.
type naiveHolder struct {
	w      *world
	mu     sync.Mutex
	owners map[string][]key.Range
	until  map[string]time.Time
}

func (w *world) runNaive() {
	n := &naiveHolder{w: w, owners: map[string][]key.Range{}, until: map[string]time.Time{}}
	n.adopt()
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			n.renewAll()
		}
	}
}

// adopt takes the owners from the committed assignment.
func (n *naiveHolder) adopt() {
	a, _ := n.w.store.committed()
	n.owners = map[string][]key.Range{}
	for _, r := range a.Ranges {
		n.owners[r.Owner] = append(n.owners[r.Owner], r.Bounds)
	}
}

func (n *naiveHolder) renewAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.w.servers {
		if len(n.owners[s.name]) > 0 && !n.renew(s) && time.Now().After(n.until[s.name]) {
			n.replace(s.name)
		}
	}
}

func (n *naiveHolder) renew(s *fakeServer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), renewEvery)
	defer cancel()
	order := backend.Order{Shard: testShard, Token: authority.Token{Epoch: 2}}
	asked := time.Now()
	echo, err := s.Grant(ctx, backend.Grant{Order: order})
	if err != nil {
		return false
	}
	n.until[s.name] = asked.Add(tenureSpan)
	_, err = s.Grant(ctx, backend.Grant{
		Order: order, Ranges: n.owners[s.name], Incarnation: echo.Incarnation, Expiry: echo.Clock + tenureSpan,
	})
	return err == nil
}

// replace commits the first standbys of a lost owner, then grants.
func (n *naiveHolder) replace(lost string) {
	a, _ := n.w.store.committed()
	next := assign.Assignment{}
	for _, r := range a.Ranges {
		if r.Owner == lost {
			r.Owner, r.FirstStandby = r.FirstStandby, ""
		}
		next.Ranges = append(next.Ranges, r)
	}
	if n.w.store.Commit(context.Background(), next) == nil {
		n.adopt()
	}
}
