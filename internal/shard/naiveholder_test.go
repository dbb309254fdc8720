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

// naiveHolder is the baseline for the time without service. It has a map behind one
// lock, renews the servers one after the other, and replaces an owner only after the
// change has been written to the store.
type naiveHolder struct {
	cluster      *testCluster
	mu           sync.Mutex
	owners       map[string][]key.Range
	grantedUntil map[string]time.Time
}

func (tc *testCluster) runNaiveHolder() {
	n := &naiveHolder{cluster: tc, owners: map[string][]key.Range{}, grantedUntil: map[string]time.Time{}}
	n.loadOwners()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-tc.stop:
			return
		case <-ticker.C:
			n.renewAll()
		}
	}
}

// loadOwners takes the owners from the committed assignment.
func (n *naiveHolder) loadOwners() {
	a, _ := n.cluster.store.committed()
	n.owners = map[string][]key.Range{}
	for _, r := range a.Ranges {
		n.owners[r.Owner] = append(n.owners[r.Owner], r.Bounds)
	}
}

func (n *naiveHolder) renewAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.cluster.servers {
		if len(n.owners[s.name]) > 0 && !n.renew(s) && time.Now().After(n.grantedUntil[s.name]) {
			n.replace(s.name)
		}
	}
}

func (n *naiveHolder) renew(s *fakeServer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	order := backend.Order{Shard: testShard, Token: authority.Token{Epoch: 2}}
	sentAt := time.Now()
	response, err := s.Grant(ctx, backend.Grant{Order: order})
	if err != nil {
		return false
	}
	n.grantedUntil[s.name] = sentAt.Add(tenureDuration)
	_, err = s.Grant(ctx, backend.Grant{
		Order: order, Ranges: n.owners[s.name], Incarnation: response.Incarnation, Expiry: response.Clock + tenureDuration,
	})
	return err == nil
}

// replace commits the first standbys of a lost owner, and grants the ranges to them
// afterwards.
func (n *naiveHolder) replace(lost string) {
	a, _ := n.cluster.store.committed()
	next := assign.Assignment{}
	for _, r := range a.Ranges {
		if r.Owner == lost {
			r.Owner, r.FirstStandby = r.FirstStandby, ""
		}
		next.Ranges = append(next.Ranges, r)
	}
	if n.cluster.store.Commit(context.Background(), next) == nil {
		n.loadOwners()
	}
}
