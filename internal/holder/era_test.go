package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a holder that ends with each era of the store, which leaves all keys without
// service for 22 s, and against one that goes on without its key or the record of the era.
func TestHolderGoesOnInTheNextEra(t *testing.T) {
	for _, c := range []struct {
		name string
		// knowsHolder is set if the copy has the lease and key of the holder.
		knowsHolder bool
	}{{"lease known", true}, {"lease lost", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startLoggedHolder(t)
				defer h.end()
				tenure := h.coordinator.Load()
				taken := memstore.New().Copy()
				if c.knowsHolder {
					taken = h.shared.Copy()
				}
				h.shared.Restore(taken)
				time.Sleep(2 * eraCheckInterval)
				found, _, err := h.readHolder(t.Context())
				is.NoErr(err)
				is.Equal(found, *h.current.Load())
				time.Sleep(5 * leaseTTL)
				is.True(h.coordinator.Load() == tenure)
				is.True(time.Since(tenure.lastLeaseConfirmation()) < leaseTTL)
				record, err := h.newRecordReader(h.store.Era()).read(t.Context())
				is.NoErr(err)
				is.Equal(record.Holder, found.tenureName())
				is.Equal(record.Epoch, tenure.epoch)
				stored, err := h.shared.Get(t.Context(), recordKey(1))
				is.NoErr(err)
				is.True(stored.Revision > 0)
			})
		})
	}
}

// Guards against a holder that goes on beside one of the new era: the store names another
// holder, another one has claimed the record, or there was an era in between. The epoch of the
// next tenure must be above those of all eras before.
func TestHolderOfAnEarlierEraEnds(t *testing.T) {
	for name, restore := range map[string]func(h *loggedHolder){
		"another holder": func(h *loggedHolder) {
			other := memstore.New()
			lease, _ := other.Grant(t.Context(), leaseTTL)
			identity, _ := Identity{Name: "entry-2", Incarnation: "A", Address: "127.0.0.1:1"}.encode()
			_, _ = other.CompareAndSwap(t.Context(), KeyHolder, 0, identity, lease)
			h.shared.Restore(other.Copy())
		},
		"record claimed": func(h *loggedHolder) {
			other := memstore.New()
			text, _ := owners.Record{Epoch: owners.FirstEpoch(1), Holder: "entry-2/A/1", RangesLost: true, InheritedGrantsPending: true}.Encode()
			other.Put(recordKey(1), text)
			h.shared.Restore(other.Copy())
		},
		"era in between": func(h *loggedHolder) {
			h.shared.Restore(h.shared.Copy())
			h.shared.Restore(h.shared.Copy())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startLoggedHolder(t)
				tenure := h.coordinator.Load()
				restore(h)
				time.Sleep(4 * eraCheckInterval)
				is.True(tenure.ctx.Err() != nil)
				time.Sleep(3 * leaseTTL)
				next := h.coordinator.Load()
				is.True(next != nil && next != tenure)
				is.True(next.epoch >= owners.FirstEpoch(h.shared.Era()))
				is.True(next.table.RangesLost(time.Now())) // grants nothing yet
				h.end()
				is.True(endReason(tenure.endReason.Load()) == endOtherEra)
			})
		})
	}
}

// Guards against a first start in a store that counts its eras from 1 that waits for grants of
// holders that never were, and against one that does not wait although there may have been one.
func TestFirstHolderOfAnEra(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		eras       int
		waits      bool
	}{{"first start", true, 1, false}, {"restarted process", false, 1, true}, {"later era", true, 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				for range c.eras {
					shared.Restore(shared.Copy())
				}
				registry := facts.NewRegistry(nil, nil)
				e := NewElector(Options{
					Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry, FirstStart: c.firstStart,
					Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					e.Run(ctx)
				}()
				time.Sleep(3 * time.Second)
				tenure := e.coordinator.Load()
				cancel()
				<-done
				is.True(tenure.epoch >= owners.FirstEpoch(uint64(c.eras)))
				is.Equal(tenure.table.InheritedGrantsEnded(time.Now()), !c.waits)
			})
		})
	}
}

// Guards against an owner in an older record that gets its keys while another one may have
// them, and against a record that loses the owners that the last holder told of.
func TestDoubtfulRecordGrantsNothing(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	old, err := owners.Record{Epoch: 1, Holder: "a/1/1", Services: map[string][]owners.RecordRange{"s": {{From: 0, To: owners.NumKeys - 1, Owner: "old"}}}}.Encode()
	is.NoErr(err)
	shared.Put(KeyRecord, old)
	shared.Restore(shared.Copy())
	told := owners.Record{Epoch: 1, Services: map[string][]owners.RecordRange{"s": {{From: 0, To: owners.NumKeys - 1, Owner: "moved"}}}}
	records := &recordStore{store: shared, tenureName: "b/1/1", told: told}
	records.era.Store(1)
	found, err := records.claim(t.Context())
	is.NoErr(err)
	is.Equal(found.Epoch, owners.FirstEpoch(1))
	is.Equal(found.Services["s"][0].Owner, "moved")
	now := time.Unix(1000, 0)
	until := now.Add(inheritedGrantsBound(predecessor{tenureName: "a/1/1", grantsBound: maxInheritedGrant}, records.replacedTenure, found))
	is.Equal(until.Sub(now), maxStoreOutage+maxInheritedGrant)
	table := owners.NewTable(found, "b/1/1", until)
	for at := now; at.Before(until); at = at.Add(tickInterval) {
		for _, o := range table.TakeDueOrders(at, listedIncarnations{&facts.Snapshot{}}) {
			is.Equal(o.Action, owners.ActionRelease)
			table.Apply(owners.OrderResult{Order: o, Outcome: owners.OutcomeDone, Ended: at})
		}
	}
	orders := table.TakeDueOrders(until.Add(time.Second), listedIncarnations{&facts.Snapshot{}})
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Action, owners.ActionGrant)
	is.Equal(orders[0].Server.Name, "moved")
	_, err = shared.Get(t.Context(), recordKey(1))
	is.NoErr(err)
}
