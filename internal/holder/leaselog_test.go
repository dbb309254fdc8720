package holder

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// loggedHolder is an elector that has been elected, with its log.
type loggedHolder struct {
	*Elector
	shared *memstore.Store
	store  *failingStore
	log    logBuffer
	// end ends the elector and writes its log.
	end func()
}

// startLoggedHolder starts an elector on an empty store and waits until it is the holder.
func startLoggedHolder(t *testing.T) *loggedHolder {
	t.Helper()
	h := &loggedHolder{shared: memstore.New()}
	h.store = &failingStore{EraStore: h.shared}
	log := events.NewLogger(&h.log)
	registry := facts.NewRegistry(nil, nil)
	h.Elector = NewElector(Options{
		Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: h.store, Registry: registry,
		Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8, Log: log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	h.end = func() {
		cancel()
		<-done
		log.Close()
	}
	time.Sleep(time.Second)
	if h.coordinator.Load() == nil {
		t.Fatal("the instance is not the holder")
	}
	return h
}

// Guards against a log in which a failed renewal, a lost lease, a key that cannot be written
// and a lease that cannot be released are one event, or a reason that is cut short.
func TestLeaseEventsTellTheirCausesApart(t *testing.T) {
	cause := store.Fail(store.ErrUncertain, errors.New(`Post "http://127.0.0.1:4/kv-keep/7": context deadline exceeded (Client.Timeout exceeded while awaiting headers)`))
	cases := []struct {
		name   string
		fail   func(*loggedHolder)
		event  events.Event
		detail error
		// unconfirmed are the bounds of the time without a confirmation, at the first line.
		unconfirmedFrom, unconfirmedTo time.Duration
		sendsOrders                    bool
		// others are further events of the lease that belong to the case.
		others []events.Event
		wait   time.Duration
	}{
		{"renewal", func(h *loggedHolder) { h.store.renew.Store(&cause) }, events.LeaseLost, cause, leaseRenewInterval, 2 * leaseRenewInterval, true, nil, leaseTTL},
		{"gone", func(h *loggedHolder) { gone := store.ErrNotFound; h.store.renew.Store(&gone) }, events.LeaseGone, store.ErrNotFound, leaseRenewInterval, 2 * leaseRenewInterval, true, nil, leaseTTL},
		{"key", func(h *loggedHolder) {
			h.store.writeKey.Store(&cause)
			h.shared.Delete(KeyHolder)
		}, events.HolderKeyUnwritten, cause, 0, 2 * leaseRenewInterval, true, nil, keyCheckInterval},
		{"release", func(h *loggedHolder) {
			h.store.renew.Store(&cause)
			h.store.revoke.Store(&cause)
		}, events.LeaseUnreleased, cause, maxStoreOutage, maxStoreOutage + 3*time.Second, false,
			[]events.Event{events.LeaseLost, events.HolderKeyUnwritten}, maxStoreOutage + 2*time.Second}, // the key ends with the lease
	}
	all := []events.Event{events.LeaseLost, events.LeaseGone, events.HolderKeyUnwritten, events.LeaseUnreleased}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startLoggedHolder(t)
				tc.fail(h)
				time.Sleep(tc.wait)
				h.store.renew.Store(nil)
				h.store.revoke.Store(nil)
				h.store.writeKey.Store(nil)
				h.end()
				for _, e := range all {
					is.Equal(len(h.log.of(t, e)) > 0, e == tc.event || slices.Contains(tc.others, e))
				}
				line := h.log.of(t, tc.event)[0]
				is.Equal(line["detail"], tc.detail.Error())
				is.Equal(line["epoch"], float64(1))
				is.Equal(line["sends_orders"], tc.sendsOrders)
				unconfirmed := time.Duration(line["unconfirmed_ms"].(float64)) * time.Millisecond
				is.True(unconfirmed >= tc.unconfirmedFrom && unconfirmed <= tc.unconfirmedTo)
			})
		})
	}
}

// Guards against a tenure whose end does not say why it ended and for how long its lease had
// not been confirmed.
func TestEndOfATenureTellsItsReason(t *testing.T) {
	gone, lost := store.ErrNotFound, store.ErrUnavailable
	cases := []struct {
		reason endReason
		cause  func(*testing.T, *loggedHolder)
	}{
		{endLeaseGone, func(_ *testing.T, h *loggedHolder) { h.store.renew.Store(&gone) }},
		{endStoreOutage, func(_ *testing.T, h *loggedHolder) { h.store.renew.Store(&lost) }},
		{endHigherFence, func(_ *testing.T, h *loggedHolder) { h.coordinator.Load().supersede(endHigherFence) }},
		{endOtherRecord, func(t *testing.T, h *loggedHolder) {
			successor := &recordStore{store: h.shared, tenureName: "successor"}
			if _, err := successor.claim(t.Context()); err != nil {
				t.Fatal(err)
			}
			// A fleet that is not in the record is written after a while.
			t.Cleanup(joinAs(t, h.Elector, link.Member{Instance: "entry-2/CXBMA3T3"}).Close)
		}},
		{endOtherKey, func(t *testing.T, h *loggedHolder) {
			other, err := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: "127.0.0.1:1"}.encode()
			if err != nil {
				t.Fatal(err)
			}
			h.shared.Put(KeyHolder, other)
		}},
		{endYielded, func(t *testing.T, h *loggedHolder) {
			t.Cleanup(joinAs(t, h.Elector, link.Member{Instance: "entry-2/CXBMA3T3", ProcessorShare: 8}).Close)
		}},
		{endHandedOver, func(t *testing.T, h *loggedHolder) {
			t.Cleanup(joinAs(t, h.Elector, link.Member{Instance: "entry-2/CXBMA3T3", ProcessorShare: 0.8}).Close)
			h.EndCandidacy()
		}},
		{endPlannedStop, func(*testing.T, *loggedHolder) {}},
	}
	for _, tc := range cases {
		t.Run(tc.reason.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startLoggedHolder(t)
				tc.cause(t, h)
				time.Sleep(maxStoreOutage + 2*time.Second)
				h.end()
				lines := h.log.of(t, events.HolderEnded)
				is.True(len(lines) > 0)
				is.Equal(lines[0]["reason"], tc.reason.String())
				is.Equal(lines[0]["epoch"], float64(1))
				is.Equal(lines[0]["tenure"], h.log.of(t, events.HolderElected)[0]["tenure"])
				is.Equal(lines[0]["unconfirmed_ms"].(float64) >= float64(maxStoreOutage.Milliseconds()), tc.reason == endStoreOutage)
			})
		})
	}
}

// Guards against a renewal that the end of a tenure cuts off and that looks like one that the
// store has failed.
func TestRenewalCutOffByTheEndSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startLoggedHolder(t)
		h.shared.Faults().SetDelay(time.Second)
		time.Sleep(leaseRenewInterval + 100*time.Millisecond) // a renewal is in progress
		h.end()
		lines := h.log.of(t, events.LeaseLost)
		is.Equal(len(lines), 1)
		is.True(strings.Contains(lines[0]["detail"].(string), context.Canceled.Error()))
		is.Equal(lines[0]["sends_orders"], false)
		is.Equal(h.log.of(t, events.HolderEnded)[0]["reason"], endPlannedStop.String())
	})
}
