package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

const (
	// addressesPerInstance is the number of addresses that startInstance takes.
	addressesPerInstance = 4
	// maxReportedConflicts limits the conflicts in a report. The first ones show the cause.
	maxReportedConflicts = 10
)

// fleet consists of three instances, three backend servers and a store.
type fleet struct {
	store     *kvstore.Server
	backends  []*fakeBackend
	instances []*instance
	mu        sync.Mutex
	conflicts []ownerConflict
}

func newFleet(t *testing.T, routeTimeout time.Duration) *fleet {
	t.Helper()
	return newFleetOf(t, map[string]any{"name": "s", "sharded": true, "warmup_s": 1.0}, routeTimeout)
}

// newFleetOf returns a fleet whose only route goes to the given service.
func newFleetOf(t *testing.T, service map[string]any, routeTimeout time.Duration) *fleet {
	t.Helper()
	f := &fleet{store: kvstore.New()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	put(t, f.store, "op/config", map[string]any{
		"version": 1, "services": []any{service},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
		"hosts": []any{map[string]any{"host": "h", "paths": []any{map[string]any{
			"name": "r", "path_prefix": "/p/", "kind": "unsafe", "timeout_s": routeTimeout.Seconds(), "target_latency_s": 1.0, "service": "s", "max_attempts": 2}}}},
	})
	for n := range 3 {
		b := newFakeBackend(fmt.Sprintf("i-%d", n))
		b.onExecute = f.recordConflicts
		b.unkeyed = service["sharded"] != true
		f.backends = append(f.backends, b)
	}
	for _, b := range f.backends {
		b.start(t)
		put(t, f.store, "servers/"+b.name, map[string]any{
			"address": b.http.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "s", "zone": "d-a", "slots": 3},
			"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
	}
	f.startInstances(t, server.Listener.Addr().String(), "a", "b", "c")
	waitFor(t, "all instances ready", func() bool {
		for _, i := range f.instances {
			select {
			case err := <-i.done:
				t.Fatalf("instance %s ended before it was ready: %v", i.config.Name, err)
			default:
			}
			if !i.ready() {
				return false
			}
		}
		return true
	})
	return f
}

// startInstances starts an instance of each name. Their ports stay reserved until all of
// them have ended, so that no other test gets one that an instance is yet to listen on.
func (f *fleet) startInstances(t *testing.T, store string, names ...string) {
	t.Helper()
	reserved, err := ports.Reserve(addressesPerInstance * len(names))
	if err != nil {
		t.Fatal(err)
	}
	var started []*instance
	for n, name := range names {
		started = append(started, startInstance(t, store, name, reserved.Addresses[addressesPerInstance*n:]))
	}
	f.instances = append(f.instances, started...)
	go func() {
		for _, i := range started {
			<-i.ended
		}
		reserved.Release()
	}()
}

func put(t *testing.T, s *kvstore.Server, key string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err == nil {
		_, err = s.Store().CompareAndSwap(context.Background(), key, 0, text, "")
	}
	if err != nil {
		t.Fatal(err)
	}
}

// recordConflicts records each other server that has a grant for the key while the named
// server starts to execute a request for it.
func (f *fleet) recordConflicts(key int, name string) {
	var executing keyGrant
	for _, b := range f.backends {
		if b.name == name {
			executing = b.grantOf(key)
		}
	}
	for _, b := range f.backends {
		owning, now := b.grantOf(key), time.Now()
		if b.name != name && now.Before(owning.expiresAt) {
			f.mu.Lock()
			f.conflicts = append(f.conflicts, ownerConflict{key: key, at: now, executing: name, owning: b.name, executingGrant: executing, owningGrant: owning})
			f.mu.Unlock()
		}
	}
}

// checkOwners fails the test if a key had two owners at a time. It then logs the first
// conflicts, the orders for the key of the first one at all servers, and what the
// instances logged about holders and owners.
func (f *fleet) checkOwners(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	conflicts := slices.Clone(f.conflicts)
	f.mu.Unlock()
	if len(conflicts) == 0 {
		return
	}
	t.Errorf("%d times, a server executed a request for a key that another one owned", len(conflicts))
	for _, c := range conflicts[:min(len(conflicts), maxReportedConflicts)] {
		t.Log(c)
	}
	t.Log("last: ", conflicts[len(conflicts)-1])
	var orders []receivedOrder
	for _, b := range f.backends {
		orders = append(orders, b.ordersFor(conflicts[0].key)...)
	}
	slices.SortFunc(orders, func(a, b receivedOrder) int { return a.appliedAt.Compare(b.appliedAt) })
	for _, o := range orders {
		t.Log(o)
	}
	for _, i := range f.instances {
		t.Logf("log of instance %s:\n%s", i.config.Name, strings.Join(i.log.traced(), "\n"))
	}
}

// waitFor polls until a condition holds. The limit of 20 s only ends a hanging test;
// it checks no timing.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 20 s: " + description)
}

func (f *fleet) countExecutions(id string) int {
	n := 0
	for _, b := range f.backends {
		n += b.executed(id)
	}
	return n
}
