package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a second successor that shortens its wait by the fleet in the record,
// although the holder whose key was spoiled may have its lease and act without its fleet: the
// first successor ended before it wrote the record again.
func TestSpoiledKeyForgetsTheFleetWithTheClaim(t *testing.T) {
	for name, replaced := range map[string]predecessor{"lease ended": {}, "key spoiled": {mayHoldLease: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				fleet := quorum.Fleet{"entry-1", "entry-2", "entry-3"}
				record, err := owners.Record{Epoch: 1, Holder: "former", Fleet: fleet}.Encode()
				is.NoErr(err)
				shared.Put(KeyRecord, record)
				registry := facts.NewRegistry(nil, nil)
				e := NewElector(Options{
					Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
					Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
				})
				lease, err := shared.Grant(t.Context(), leaseTTL)
				is.NoErr(err)
				is.True(shared.ExpireLease(lease)) // the tenure ends with the first renewal
				e.lead(t.Context(), e.newCandidate(), lease, time.Now(), suspension{}, replaced)
				found, err := (&recordStore{store: shared}).read(t.Context())
				is.NoErr(err)
				is.Equal(found.Epoch, int64(2))
				if replaced.mayHoldLease {
					fleet = nil
				}
				is.Equal(found.Fleet, fleet)
			})
		})
	}
}
