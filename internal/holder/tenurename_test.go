package holder

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a process that is elected once more under the epoch of its last
// tenure, and grants under fences that it has used before.
func TestEachTenureOfAProcessHasItsOwnEpoch(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	c := &Elector{self: Identity{Name: "entry-1", Incarnation: "K55N5AKH"}, store: shared}
	for epoch := int64(1); epoch <= 3; epoch++ {
		record := &recordStore{store: shared, tenureName: c.newCandidate().tenureName()}
		found, err := record.claim(context.Background())
		is.NoErr(err)
		is.Equal(found.Epoch, epoch)
		again, err := record.claim(context.Background()) // its own claim whose answer was lost
		is.NoErr(err)
		is.Equal(again.Epoch, epoch)
	}
}

// Guards against a candidate that takes its key of an earlier election for the one
// that it has just stood for: that key ends with another lease.
func TestElectionsOfAProcessAreToldApart(t *testing.T) {
	is := is.New(t)
	c := &Elector{self: Identity{Name: "entry-1", Incarnation: "K55N5AKH"}}
	first, second := c.newCandidate(), c.newCandidate()
	is.True(first != second)
	is.True(first.sameProcess(second))
}
