package holder

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a process that is elected again with the epoch of its last tenure and
// so reuses fences.
func TestEachTenureOfAProcessHasItsOwnEpoch(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	e := &Elector{self: Identity{Name: "entry-1", Incarnation: "K55N5AKH"}, store: shared}
	for epoch := int64(1); epoch <= 3; epoch++ {
		records := &recordStore{store: shared, tenureName: e.newCandidate().tenureName()}
		found, err := records.claim(context.Background())
		is.NoErr(err)
		is.Equal(found.Epoch, epoch)
		again, err := records.claim(context.Background()) // a retry after the response to its own claim was lost
		is.NoErr(err)
		is.Equal(again.Epoch, epoch)
	}
}

// Guards against a candidate that takes its own key from an earlier election, which is
// bound to another lease, for a win in the current one.
func TestElectionsOfAProcessAreToldApart(t *testing.T) {
	is := is.New(t)
	e := &Elector{self: Identity{Name: "entry-1", Incarnation: "K55N5AKH"}}
	first, second := e.newCandidate(), e.newCandidate()
	is.True(first != second)
	is.True(first.sameProcess(second))
}
