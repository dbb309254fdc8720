package holder

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a successor that does not learn that its predecessor has yielded, and
// against a former holder that overwrites the record of its successor.
func TestSuccessorLearnsThatItsPredecessorYielded(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	first, second, third := &recordStore{store: shared, tenureName: "first"}, &recordStore{store: shared, tenureName: "second"}, &recordStore{store: shared, tenureName: "third"}
	_, err := first.claim(context.Background())
	is.NoErr(err)
	is.NoErr(first.markYielded(context.Background()))
	found, err := second.claim(context.Background())
	is.NoErr(err)
	is.True(found.Yielded)
	is.NoErr(first.markYielded(context.Background())) // no effect, as it is no longer the holder
	found, err = third.claim(context.Background())
	is.NoErr(err)
	is.True(!found.Yielded)
}
