package holder

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// spoilings are what another program may leave at the key of the record; "" deletes it.
var spoilings = []string{
	"", "{", "null", "[]", `{"epoch":1}`, `{"epoch":-1,"holder":"x"}`, `{"epoch":9223372036854775807,"holder":"x"}`, `{"epoch":1e30,"holder":"x"}`,
	`{"epoch":1,"holder":"x","services":{"s":[{"from":-1,"to":65535,"owner":"a","fence":1}]}}`,
	`{"epoch":1,"holder":"x","services":{"s":[{"from":0,"to":9,"owner":"a","fence":1}]}}`,
	`{"epoch":1,"holder":"x","services":{"s":[{"from":0,"to":65535,"owner":"a\r\n","fence":1}]}}`,
	`{"epoch":1,"holder":"x","services":{"s":[{"from":0,"to":65535,"owner":"a","fence":9000000000000000000}]}}`,
}

func spoil(shared *memstore.Store, key, text string) {
	if text == "" {
		shared.Delete(key)
		return
	}
	shared.Put(key, []byte(text))
}

// Guards against a holder that can store no move any more, or that ends its tenure, once
// another program has written to the key of the record.
func TestHolderReplacesASpoiledRecord(t *testing.T) {
	for n, text := range spoilings {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			shared := memstore.New()
			var confirmed time.Time
			records := &recordStore{store: shared, tenureName: "first", leaseConfirmedAt: func() time.Time { return confirmed }}
			found, err := records.claim(ctx)
			is.NoErr(err)
			spoil(shared, KeyRecord, text)
			err = records.write(ctx, found)
			is.True(err != nil && !errors.Is(err, ErrSuperseded))
			is.True(errors.Is(records.write(ctx, found), errUnconfirmed))
			confirmed = time.Now().Add(time.Microsecond)
			is.NoErr(records.write(ctx, found))
			stored, err := (&recordStore{store: shared}).read(ctx)
			is.NoErr(err)
			is.Equal(stored.Holder, "first")
		})
	}
}

// Guards against a former holder that takes the place of its successor, whose record was
// spoiled: both would grant keys, with the same fences after the next change of holder.
func TestFormerHolderDoesNotReplaceTheRecordOfItsSuccessor(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	shared := memstore.New()
	lastRenewal := time.Now()
	former := &recordStore{store: shared, tenureName: "former", leaseConfirmedAt: func() time.Time { return lastRenewal }}
	found, err := former.claim(ctx)
	is.NoErr(err)
	successor := &recordStore{store: shared, tenureName: "successor"}
	next, err := successor.claim(ctx)
	is.NoErr(err)
	is.Equal(next.Epoch, found.Epoch+1)
	shared.Put(KeyRecord, []byte("{"))
	is.True(former.write(ctx, found) != nil)
	for range 3 {
		is.True(errors.Is(former.write(ctx, found), errUnconfirmed))
	}
	third, err := (&recordStore{store: withKey(shared), tenureName: "third"}).claim(ctx)
	is.NoErr(err)
	is.True(third.Epoch > next.Epoch)
	lastRenewal = time.Now().Add(time.Second)
	is.True(errors.Is(former.write(ctx, found), ErrSuperseded))
}

// withKey returns the store with the key of a holder in it.
func withKey(shared *memstore.Store) *memstore.Store {
	shared.Put(KeyHolder, []byte(`{"name":"x","incarnation":"1","address":"127.0.0.1:1"}`))
	return shared
}

// Guards against a fleet that has no holder for as long as the record is spoiled, and
// against a new holder that uses fences again or takes no account of grants that it knows
// nothing of.
func TestSpoiledRecordIsClaimed(t *testing.T) {
	for n, text := range spoilings {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			shared := memstore.New()
			last := int64(0)
			for n := range 5 {
				found, err := (&recordStore{store: withKey(shared), tenureName: strconv.Itoa(n)}).claim(ctx)
				is.NoErr(err)
				last = found.Epoch
			}
			spoil(shared, KeyRecord, text)
			records := &recordStore{store: withKey(shared), tenureName: "next", followedHolder: true}
			found, err := records.claim(ctx)
			is.NoErr(err)
			is.True(found.Epoch > last)
			is.True(found.RangesLost)
			is.Equal(inheritedGrantsBound(predecessor{grantsBound: maxInheritedGrant}, records.replacedTenure, found), maxStoreOutage+maxInheritedGrant)
			// The next holder must wait as well, if this one ends before its first plan.
			records = &recordStore{store: withKey(shared), tenureName: "after", followedHolder: true}
			found, err = records.claim(ctx)
			is.NoErr(err)
			is.True(found.RangesLost)
			is.Equal(inheritedGrantsBound(predecessor{tenureName: "next", grantsBound: maxInheritedGrant}, records.replacedTenure, found), maxStoreOutage+maxInheritedGrant)
		})
	}
}

// Guards against a spoiled key of the holder that stays: no instance could join, and none
// would become the holder after it.
func TestHolderRepairsItsKey(t *testing.T) {
	for _, text := range []string{"", "{", "null", `{"name":"entry-9"}`, `{"name":"entry-9","incarnation":"A","address":"127.0.0.1:99999"}`} {
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				e, end := startElector(t, shared, "entry-1", 0.8)
				time.Sleep(2 * time.Second)
				tenure := e.coordinator.Load()
				is.True(tenure != nil)
				spoil(shared, KeyHolder, text)
				time.Sleep(keyCheckInterval + time.Second)
				is.Equal(currentHolder(t, shared), "entry-1")
				is.Equal(e.coordinator.Load(), tenure) // still the same tenure
				end()
				_, err := shared.Get(t.Context(), KeyHolder)
				is.True(errors.Is(err, store.ErrNotFound)) // the key is bound to the lease again
			})
		})
	}
}

// Guards against a fleet without a holder for as long as its key cannot be read.
func TestUnreadableKeyOfAnEndedHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		shared.Put(KeyHolder, []byte(`{"name":"entry-9","incarnation":"A","address":"127.0.0.1:-1"}`))
		_, end := startElector(t, shared, "entry-1", 0.8)
		time.Sleep(unreadableKeyTimeout + 2*time.Second)
		is.Equal(currentHolder(t, shared), "entry-1")
		end()
	})
}

// Guards against a holder that goes on beside another one after its key was replaced.
func TestHolderEndsWhenItFindsAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e, end := startElector(t, shared, "entry-1", 0.8)
		time.Sleep(2 * time.Second)
		tenure := e.coordinator.Load()
		is.True(tenure != nil)
		withKey(shared)
		time.Sleep(keyCheckInterval + 2*leaseRenewInterval)
		is.True(tenure.ctx.Err() != nil)
		end()
	})
}

// Guards against two owners of a key: a holder has its lease, but another program has deleted
// its key, and it grants keys until after its successor has stopped waiting for them.
func TestHolderWithoutItsKeyEndsBeforeItsSuccessorStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e, end := startElector(t, shared, "entry-1", 0.8)
		for e.coordinator.Load() == nil {
			time.Sleep(time.Millisecond)
		}
		tenure := e.coordinator.Load()
		time.Sleep(keyCheckInterval + time.Millisecond) // it has just looked
		withKey(shared)
		lastGrant := owners.OrderTimeout + owners.GrantDuration*102/100 + 100*time.Millisecond
		time.Sleep(inheritedGrantsTimeout - storeTimeout - lastGrant)
		is.True(tenure.superseded.Load())
		end()
	})
}

// Guards against a record that a holder has written and no successor can read.
func TestStoredRecordsAreReadable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	shared := memstore.New()
	records := &recordStore{store: shared, tenureName: "first"}
	found, err := records.claim(ctx)
	is.NoErr(err)
	table := owners.NewTable(found, "first", time.Unix(1000, 0))
	is.NoErr(records.write(ctx, table.Record()))
	_, err = records.read(ctx)
	is.NoErr(err)
}

// Guards against a holder that ends its tenure because its key holds another address of
// its own, as behind an address translation.
func TestHolderKnowsItsKeyByItsTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e, end := startElector(t, shared, "entry-1", 0.8)
		time.Sleep(2 * time.Second)
		tenure := e.coordinator.Load()
		is.True(tenure != nil)
		entry, err := shared.Get(t.Context(), KeyHolder)
		is.NoErr(err)
		shared.Put(KeyHolder, bytes.Replace(entry.Value, []byte("127.0.0.1:1"), []byte("127.0.0.1:2"), 1))
		time.Sleep(2 * keyCheckInterval)
		is.Equal(e.coordinator.Load(), tenure)
		end()
	})
}

// Guards against an instance that follows no new configuration while it waits for the holder
// to repair its key.
func TestInstanceReadsTheFactsWhileTheHolderKeyIsUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		shared.Put(KeyHolder, []byte("{"))
		registry := facts.NewRegistry(nil, nil)
		source := recordingSource{reads: make(chan struct{}, 100)}
		e := NewElector(Options{
			Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
			Reader: facts.NewReader(source, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		for range 3 {
			time.Sleep(2 * time.Second) // within which a configuration must be known, by the platform's pages
			is.True(len(source.reads) > 0)
			for len(source.reads) > 0 {
				<-source.reads
			}
		}
		cancel()
		<-done
	})
}
