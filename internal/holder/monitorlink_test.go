package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// unreachableSource is a store that rejects every read.
type unreachableSource struct{ emptySource }

func (unreachableSource) Listing(context.Context) (fleet.Listing, error) {
	return fleet.Listing{}, errors.New("rejected")
}

// Guards against an instance that does not notice for 10 s that its holder's tenure has
// ended, and so uses an old configuration: it waited between two attempts to read the
// store, for longer the larger the fleet.
func TestLinkIsMonitoredWhileTheStoreRejectsReads(t *testing.T) {
	for name, endLink := range map[string]bool{"the link ends": true, "heartbeats end": false} {
		for _, known := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					registry := facts.NewRegistry(nil, nil)
					if known {
						registry.ConfirmRead(time.Now().Add(-time.Minute))
					}
					client := newFakeClient(registry)
					client.fleetSize = 72
					e := NewElector(Options{
						Store: memstore.New(), Registry: registry, Reader: facts.NewReader(unreachableSource{}, registry, nil), Client: client,
					})
					conn := fakeLink(make(chan struct{}))
					returned := make(chan struct{})
					go func() {
						defer close(returned)
						e.monitorLink(t.Context(), conn, link.NewFactsReceiver(registry), Identity{})
					}()
					for range 20 {
						time.Sleep(link.HeartbeatInterval)
						client.hear()
					}
					endedAt := time.Now()
					if endLink {
						close(conn)
					}
					<-returned
					is.True(time.Since(endedAt) <= link.HeartbeatTimeout+2*link.HeartbeatInterval)
				})
			})
		}
	}
}

// Guards against an instance that takes its facts for fresh after its machine was suspended,
// for which the clocks that it counts their age by stood still.
func TestFactsAreNotTrustedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := facts.NewRegistry(nil, nil)
		registry.ConfirmRead(time.Now())
		client := newFakeClient(registry)
		e := NewElector(Options{Store: memstore.New(), Registry: registry, Reader: facts.NewReader(emptySource{}, registry, nil), Client: client})
		var suspended atomic.Int64
		e.suspendedFor = func() (time.Duration, bool) { return time.Duration(suspended.Load()), true }
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			e.monitorLink(t.Context(), fakeLink(make(chan struct{})), link.NewFactsReceiver(registry), Identity{})
		}()
		time.Sleep(2 * link.HeartbeatInterval)
		client.hear()
		_, known := registry.Age(time.Now())
		is.True(known)
		suspended.Add(int64(10 * time.Second))
		<-returned // to join again, with another clock
		_, known = registry.Age(time.Now())
		is.True(!known)
	})
}
