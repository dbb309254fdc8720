package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// claimObserver is a store that calls onClaim before the record is written.
type claimObserver struct {
	*memstore.Store
	onClaim func()
}

func (s *claimObserver) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	if key == KeyRecord {
		s.onClaim()
	}
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

// Guards against a new holder that sends orders although its machine was suspended between
// its lease and its first look for a suspension: others may have been elected meanwhile.
func TestHolderThatWasSuspendedDuringItsElectionConfirmsItsLeaseFirst(t *testing.T) {
	for _, suspendedFor := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			shared := &claimObserver{Store: memstore.New(), onClaim: func() {}}
			incarnation := fleet.Incarnation{Name: "a", StartMS: 1}
			is.NoErr((&recordStore{store: shared, tenureName: "earlier"}).write(t.Context(), owners.Record{
				Epoch: 1, Holder: "earlier", Addresses: map[string]string{incarnation.String(): "127.0.0.1:1"},
				Services: map[string][]owners.RecordRange{"s": {{From: 0, To: owners.NumKeys - 1, Owner: "a", StartMS: 1, Fence: 1<<20 + 1}}},
			}))
			total := time.Duration(0)
			claimed := make(chan struct{}, 1)
			shared.onClaim = func() {
				total += suspendedFor
				claimed <- struct{}{}
				shared.onClaim = func() {}
			}
			contexts := make(contextChannel, 16)
			registry := facts.NewRegistry(nil, nil)
			e := NewElector(Options{
				Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry, OrderSender: contexts,
				Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 1,
			})
			e.suspendedFor = func() (time.Duration, bool) { return total, true }
			ctx, end := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				e.Run(ctx)
			}()
			<-claimed
			synctest.Wait()
			c := e.coordinator.Load()
			c.enqueue(func() { c.snapshot = &facts.Snapshot{Config: &fleet.Config{}} }) // grants need facts
			time.Sleep(leaseRenewInterval - tickInterval)
			is.Equal(len(contexts) > 0, suspendedFor == 0) // before the lease is confirmed
			time.Sleep(4 * tickInterval)
			is.True(len(contexts) > 0) // after that
			end()
			<-done
		})
	}
}
