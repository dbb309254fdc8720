package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a fleet without a holder until a lease expires: a candidate that was
// stopped while its write of the holder's key was in progress left that key behind.
func TestCandidateThatEndsDuringItsElectionLeavesNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e := NewElector(Options{Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Client: newFakeClient(nil)})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.elect(ctx, predecessor{})
		}()
		shared.Faults().SetDelay(100 * time.Millisecond)
		<-shared.Faults().Delayed() // the call that creates the lease
		<-shared.Faults().Delayed() // the write of the key
		stop()
		<-done
		_, err := shared.Get(t.Context(), KeyHolder)
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// Guards against the same when the response to the write is lost and the key cannot be
// read back.
func TestCandidateThatCannotReadItsKeyBackRemovesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e := NewElector(Options{Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: unreadableStore{shared}, Client: newFakeClient(nil)})
		shared.Faults().SetDelay(time.Millisecond)
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.elect(t.Context(), predecessor{})
		}()
		<-shared.Faults().Delayed() // the call that creates the lease
		<-shared.Faults().Delayed() // the write of the key
		shared.Faults().LoseNextResponse()
		<-done
		shared.Faults().SetDelay(0)
		_, err := shared.Get(t.Context(), KeyHolder)
		is.True(errors.Is(err, store.ErrNotFound))
	})
}

// Guards against a weak machine that waits before it stands for election, does not notice
// that a strong one has become the holder, and succeeds that one when it hands over.
func TestWaitingCandidateNoticesTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		record, err := owners.Record{Epoch: 1, Holder: "former", MaxProcessorShare: 0.8}.Encode()
		is.NoErr(err)
		shared.Put(KeyRecord, record)
		_, end := startElector(t, shared, "entry-1", 0.16) // waits for 0.72 s or a little longer
		time.Sleep(100 * time.Millisecond)
		strong, err := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: "127.0.0.1:1"}.encode()
		is.NoErr(err)
		shared.Put(KeyHolder, strong)
		time.Sleep(600 * time.Millisecond)
		shared.Delete(KeyHolder)
		time.Sleep(400 * time.Millisecond)
		is.Equal(currentHolder(t, shared), "")
		time.Sleep(time.Second)
		is.Equal(currentHolder(t, shared), "entry-1") // after another wait
		end()
	})
}
