package entrynode

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// restart stops the instance and starts one with its name, at other addresses.
func (i *instance) restart(t *testing.T) *instance {
	t.Helper()
	i.stop()
	<-i.ended
	reserved, err := ports.Reserve(addressesPerInstance)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	next := startInstance(t, i.config.StoreAddress, i.config.Name, reserved.Addresses)
	waitFor(t, "the restarted instance is ready", next.ready)
	return next
}

// orderCount returns how many grants and releases have arrived.
func (b *fakeBackend) orderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}

// Guards against a server that has left, and keys that were taken from it, that are in use
// again after instances were restarted, the holder among them: a process starts without
// memory, and the record in the store or the other instances must tell it.
func TestRestartedInstancesUseNothingThatHasLeft(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(f *fleet, b *fakeBackend)
	}{
		{"by its entry", func(f *fleet, b *fakeBackend) { f.store.Store().Delete("servers/" + b.name) }},
		{"by its responses", func(_ *fleet, b *fakeBackend) { b.leaving.Store(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, defaultRouteTimeout)
			client := newCaller()
			defer client.CloseIdleConnections()
			left := f.backends[0]
			key := f.keyOf(t, left)
			tc.leave(f, left)
			for n, i := range f.instances {
				sendRequest(client, i, fmt.Sprintf("before-%d", n), key)
			}
			waitFor(t, "the server owns no key", func() bool { return !left.ownsKey(key) })
			time.Sleep(maxLeavingTime)
			orders := left.orderCount()
			running := slices.Clone(f.instances)
			for n := range running {
				running[n] = running[n].restart(t)
				for k := range 12 {
					id := fmt.Sprintf("after-%d-%d", n, k)
					status, _ := sendRequest(client, running[k%3], id, key+k)
					is.Equal(left.executed(id), 0)
					is.Equal(status, http.StatusOK)
				}
			}
			is.Equal(left.orderCount(), orders) // nobody granted it keys
			f.checkOwners(t)
		})
	}
}
