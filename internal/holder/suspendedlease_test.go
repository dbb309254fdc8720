package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// claimStore calls onClaim when a write of the record has taken effect, before it returns.
type claimStore struct {
	*memstore.Store
	onClaim func()
}

func (s *claimStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	entry, err := s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	if key == KeyRecord {
		s.onClaim()
	}
	return entry, err
}

// Guards against a holder whose machine was suspended between its election and its first
// look for suspensions, that sends orders beside its successor before it renews its lease.
func TestLeaseOfAHolderSuspendedDuringItsElectionIsNotConfirmed(t *testing.T) {
	for name, length := range map[string]time.Duration{"not suspended": 0, "suspended": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				suspended := time.Hour // before the election
				shared := &claimStore{Store: memstore.New(), onClaim: func() { suspended += length }}
				registry := facts.NewRegistry(nil, nil)
				e := NewElector(Options{
					Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
					Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
				})
				e.suspendedFor = func() (time.Duration, bool) { return suspended, true }
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					e.elect(ctx, predecessor{})
				}()
				for e.coordinator.Load() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(leaseRenewInterval / 2)
				is.Equal(e.coordinator.Load().lastLeaseConfirmation().IsZero(), length > 0)
				time.Sleep(leaseRenewInterval)
				is.True(!e.coordinator.Load().lastLeaseConfirmation().IsZero())
				cancel()
				<-done
			})
		})
	}
}
