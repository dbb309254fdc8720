package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a holder that claims the record after its lease has ended, in place of a
// successor that it does not know of, and sends orders beside it.
func TestHolderThatClaimsLateConfirmsItsLeaseFirst(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				registry := facts.NewRegistry(nil, nil)
				e := NewElector(Options{
					Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
					Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
				})
				startedAt := time.Now()
				lease, err := shared.Grant(t.Context(), leaseTTL)
				is.NoErr(err)
				if late {
					startedAt = startedAt.Add(-leaseTTL)
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					e.lead(t.Context(), e.newCandidate(), lease, startedAt, suspension{}, predecessor{})
				}()
				time.Sleep(leaseRenewInterval / 2)
				is.Equal(e.coordinator.Load().lastLeaseConfirmation().IsZero(), late)
				time.Sleep(leaseRenewInterval)
				is.True(!e.coordinator.Load().lastLeaseConfirmation().IsZero())
				is.NoErr(shared.Revoke(t.Context(), lease))
				<-done
			})
		})
	}
}
