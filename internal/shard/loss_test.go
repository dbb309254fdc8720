package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/route"
)

// servedWithin is the target of the design page for a key after a loss.
const servedWithin = time.Second

// ways in which a server stops answering.
var losses = []struct {
	name string
	lose func(s *fakeServer)
}{
	{"crash", func(s *fakeServer) { s.setDown(true) }},
	{"freeze", func(s *fakeServer) { s.setFrozen(true) }},
}

// A lost owner is replaced by its standby within a second, store up or down.
// Guards against a replacement that waits for a write to the store.
func TestLostOwnerIsReplaced(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		for i := range 10 {
			loss, phase := losses[i%2], time.Duration(i/2)*30*time.Millisecond
			inWorld(t, 9, func(t *testing.T, w *world) {
				is := is.New(t)
				w.settle()
				time.Sleep(phase) // of the renewal interval
				h := w.hashes[5]
				lost := w.ownerOf(h)
				is.True(lost != nil) // the key was served before the loss
				w.store.setDown(storeDown)
				w.update(func() { loss.lose(lost) })
				time.Sleep(2 * time.Second)
				next := w.ownerOf(h)
				is.True(next != nil && next != lost)
				is.True(w.gap() > 0 && w.gap() <= servedWithin)
				t.Logf("%s %v into the interval, store down %v: longest gap %v", loss.name, phase, storeDown, w.gap())
			})
		}
	}
}

// Guards against a second standby that is given up because the first is lost too.
func TestTwoServersLostWithinASecond(t *testing.T) {
	for _, apart := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond} {
		inWorld(t, 9, func(t *testing.T, w *world) {
			is := is.New(t)
			w.settle()
			w.store.setDown(true)
			row := w.committedRange(w.hashes[9])
			w.update(func() { w.server(row.Owner).setFrozen(true) })
			time.Sleep(apart)
			w.update(func() { w.server(row.FirstStandby).setFrozen(true) })
			w.resetGap() // the time counts from the second loss
			time.Sleep(servedWithin)
			is.Equal(w.ownerName(w.hashes[9]), row.SecondStandby)
			time.Sleep(2 * time.Second)
			t.Logf("%v apart: longest gap after the second loss %v", apart, w.gap())
		})
	}
}

// Guards against a new holder that waits for an owner which was lost together
// with the old holder.
func TestHolderAndServerLostTogether(t *testing.T) {
	for i := range 10 {
		storeDown, phase := i%2 == 1, time.Duration(i/2)*30*time.Millisecond
		inWorld(t, 9, func(t *testing.T, w *world) {
			is := is.New(t)
			w.settle()
			time.Sleep(phase)
			next := w.addHolder()
			w.store.setDown(storeDown)
			row := w.committedRange(w.hashes[20])
			w.update(func() { w.server(row.Owner).setFrozen(true) })
			w.holder.cancel()
			w.succeed(next)
			time.Sleep(2 * time.Second)
			is.True(row.HasStandby(w.ownerName(w.hashes[20])))
			is.True(w.gap() <= servedWithin)
			t.Logf("%v into the interval, store down %v: longest gap %v", phase, storeDown, w.gap())
		})
	}
}

// A restarted server holds no grant: its keys go to standbys at once, and the
// grants addressed to its earlier run do not count on its new clock.
func TestRestartedServerHoldsNothing(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		row := w.committedRange(w.hashes[17])
		w.update(func() {
			owner := w.server(row.Owner)
			owner.setDown(true)
			owner.setDown(false)
		})
		time.Sleep(500 * time.Millisecond)
		is.Equal(w.ownerName(w.hashes[17]), row.FirstStandby)
		is.True(w.gap() <= 300*time.Millisecond) // a renewal interval and some round trips
	})
}

// A new holder sends nothing but questions for the clock to servers that do not
// check tokens until commands of the old holder have been delivered. Guards
// against a takeover without that wait, and against one that delays the others.
func TestTakeoverWaitsForDelivery(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		next := w.addHolder()
		w.succeed(next)
		time.Sleep(190 * time.Millisecond)
		view := next.runtime.Views().Load()
		is.Equal(len(view.Targets), 6) // the servers that check tokens
		for _, s := range w.servers {
			w.update(func() { is.Equal(s.clock() < s.until, s.checksTokens) })
		}
		time.Sleep(20 * time.Millisecond)
		is.Equal(len(next.runtime.Views().Load().Targets), 9)
		is.True(w.ownerName(w.hashes[2]) != "")
	})
}

// Requests that hang at a lost owner do not delay a later move of the range.
func TestLostRequestsDoNotBlockMoves(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		row := w.committedRange(w.hashes[5])
		entry, _ := route.Enter(w.holder.runtime.Views(), w.hashes[5])
		defer entry.Leave()
		w.update(func() { w.server(row.Owner).setFrozen(true) })
		time.Sleep(time.Second)
		is.Equal(w.ownerName(w.hashes[5]), row.FirstStandby)
		w.setOut(w.domainOf(row.FirstStandby), true)
		time.Sleep(100 * time.Millisecond)
		next := w.ownerName(w.hashes[5]) // the planner may have committed other standbys after the loss
		is.True(next != "" && next != row.Owner && w.domainOf(next) != w.domainOf(row.FirstStandby))
	})
}

// A changed address is another process: what the old one was granted must expire
// before the range is granted elsewhere, although no one talks to it any more.
func TestAddressChanges(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		row := w.committedRange(w.hashes[5])
		w.addServer("moved", "d0") // the process that takes over the name
		w.settings = w.settings[:9]
		for i := range w.settings {
			if w.settings[i].Name == row.Owner {
				w.settings[i].Address = "moved"
			}
		}
		w.setOut("none", false)
		time.Sleep(servedWithin)
		is.True(w.ownerName(w.hashes[5]) != "")
		is.True(w.ownerName(w.hashes[5]) != row.Owner)
	})
}

// The status counts what the term did.
func TestStatus(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		is.Equal(w.holder.runtime.Status().Ranges, 48)
		is.Equal(w.holder.runtime.Status().Held, 0)
		w.store.setDown(true)
		w.update(func() { w.servers[0].setDown(true) })
		time.Sleep(2 * time.Second)
		status := w.holder.runtime.Status()
		is.Equal(status.Replaced, uint64(8))
		is.True(status.Uncommitted)
		is.Equal(status.Servers[0], ServerStatus{Name: "s00", State: "lost"})
	})
}
