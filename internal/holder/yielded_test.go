package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
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
	yielded := owners.Record{Epoch: 1, Holder: "first", Yielded: true}
	is.NoErr(first.write(context.Background(), yielded))
	found, err := second.claim(context.Background())
	is.NoErr(err)
	is.True(found.Yielded)
	is.True(errors.Is(first.write(context.Background(), yielded), ErrSuperseded)) // it is no longer the holder
	found, err = third.claim(context.Background())
	is.NoErr(err)
	is.True(!found.Yielded)
}

// Guards against a fleet without a holder while a weak one that yields cannot write the
// record, and against a successor that yields again at once.
func TestHolderYieldsOnceTheRecordSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e, end := startElector(t, shared, "entry-1", 0.8)
		epoch := func() int64 {
			record, err := (&recordStore{store: shared}).read(t.Context())
			is.NoErr(err)
			return record.Epoch
		}
		time.Sleep(yieldDelay / 2)
		is.Equal(currentHolder(t, shared), "entry-1")
		defer joinAs(t, e, link.Member{Instance: "entry-2", ProcessorShare: 8}).(*link.Local).Close()
		shared.Faults().SetUnavailable(true)
		time.Sleep(yieldDelay)
		is.True(e.coordinator.Load() != nil)
		shared.Faults().SetUnavailable(false)
		is.Equal(epoch(), int64(1))
		time.Sleep(2 * time.Second)
		is.Equal(epoch(), int64(2)) // the instance was elected again, as there is no other candidate
		defer joinAs(t, e, link.Member{Instance: "entry-2", ProcessorShare: 8}).(*link.Local).Close()
		time.Sleep(yieldCooldown / 2)
		is.Equal(epoch(), int64(2))
		end()
	})
}
