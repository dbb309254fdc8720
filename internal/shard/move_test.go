package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/route"
)

// enterAll opens one request in the range of each hash.
func (w *world) enterAll(is *is.I) []*route.Entry {
	var entries []*route.Entry
	for _, h := range w.hashes {
		entry, _ := route.Enter(w.holder.runtime.Views(), h)
		is.True(entry != nil) // all ranges are open
		entries = append(entries, entry)
	}
	return entries
}

// Guards against a move that waits for a long upload while requests of the range
// pile up, and against one that is never retried.
func TestMoveIsPutOffForLongUpload(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		uploads := w.enterAll(is)
		w.addServer("s99", "d0")
		time.Sleep(20 * time.Second)
		is.True(w.gap() <= handoverWait+10*time.Millisecond) // held for the bound only
		is.Equal(w.ownedBy("s99"), 0)
		for _, upload := range uploads {
			upload.Leave()
		}
		time.Sleep(60 * time.Second) // the longest backoff and then some
		is.True(w.ownedBy("s99") > 0)
	})
}

// A move without requests in flight costs two round trips.
func TestMoveGap(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		w.settle()
		w.addServer("s99", "d0")
		time.Sleep(20 * time.Second)
		is := is.New(t)
		is.True(w.ownedBy("s99") > 0)
		is.True(w.gap() <= 15*time.Millisecond) // two round trips of 3 ms and one awaited renewal
		t.Logf("longest gap of a move %v", w.gap())
	})
}

// A failure domain taken out gets nothing new while its requests in flight end
// undisturbed, store up or down. Guards against both a cut and a leak.
func TestDomainOutWithRequestsInFlight(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		inWorld(t, 9, func(t *testing.T, w *world) {
			is := is.New(t)
			w.settle()
			w.store.setDown(storeDown)
			uploads := w.enterAll(is)
			w.setOut("d1", true)
			time.Sleep(5 * time.Second)
			for i, upload := range uploads {
				owner := w.server(upload.Range.Owner.Name)
				w.update(func() { is.True(owner.accepts(w.hashes[i])) }) // still owned: nothing was cut off
				if w.domainOf(owner.name) == "d1" {
					entry, _ := route.Enter(w.holder.runtime.Views(), w.hashes[i])
					is.True(entry == nil) // nothing new goes there
				}
				upload.Leave()
			}
			time.Sleep(time.Second)
			for _, h := range w.hashes {
				is.True(w.domainOf(w.ownerName(h)) != "d1")
			}
		})
	}
}

// A leaving server hands its ranges over like one that is taken out.
func TestLeavingServer(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		leaving := w.ownerOf(w.hashes[7])
		w.update(func() { leaving.leaving = true })
		time.Sleep(2 * time.Second)
		is.Equal(w.ownedBy(leaving.name), 0)
		is.True(w.gap() <= 15*time.Millisecond)
		for _, target := range w.holder.runtime.Views().Load().Targets {
			is.True(target.Name != leaving.name)
		}
	})
}

// Quiesce returns once the last request has ended, and holds new ones.
func TestQuiesce(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		entry, _ := route.Enter(w.holder.runtime.Views(), w.hashes[0])
		done := make(chan error, 1)
		go func() { done <- w.holder.runtime.Quiesce(context.Background()) }()
		time.Sleep(time.Second)
		late, held := route.Enter(w.holder.runtime.Views(), w.hashes[1])
		is.True(late == nil && held != nil)
		is.Equal(len(done), 0) // one request is still in flight
		entry.Leave()
		time.Sleep(time.Millisecond)
		is.Equal(len(done), 1)
		is.NoErr(<-done)
	})
}

// Servers of a service without keys are listed by state and get no ranges.
func TestServiceWithoutKeys(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.unkeyed = true
		w.setOut("d2", true)
		w.update(func() { w.servers[0].setFrozen(true) })
		time.Sleep(time.Second)
		names := ""
		for _, target := range w.holder.runtime.Views().Load().Targets {
			names += target.Name + " "
		}
		is.Equal(names, "s01 s03 s04 ") // s00 is frozen, s02 and s05 are out
	})
}

// addServer adds a server to the settings of all instances.
func (w *world) addServer(name, domain string) {
	w.update(func() {
		w.servers = append(w.servers, &fakeServer{
			world: w, name: name, started: time.Now(), incarnation: "1", oneWay: 1500 * time.Microsecond,
		})
	})
	w.settings = append(w.settings, ServerConfig{Name: name, Domain: domain, Address: name, Slots: 3})
	w.setOut(fmt.Sprintf("no domain %s", name), false)
}

// ownedBy counts the sampled hashes that the server serves.
func (w *world) ownedBy(name string) int {
	count := 0
	for _, h := range w.hashes {
		if owner := w.ownerOf(h); owner != nil && owner.name == name {
			count++
		}
	}
	return count
}

// With no server left to move to, ranges of servers that are out stay held.
// Guards against new work for a domain that was taken out.
func TestNoNewWorkWhenAllAreOut(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		for _, domain := range []string{"d0", "d1", "d2"} {
			w.setOut(domain, true)
		}
		time.Sleep(2 * time.Second)
		for _, h := range w.hashes {
			entry, held := route.Enter(w.holder.runtime.Views(), h)
			is.True(entry == nil && held != nil)
		}
		w.setOut("d1", false)
		time.Sleep(time.Second)
		is.Equal(w.domainOf(w.ownerName(w.hashes[0])), "d1")
	})
}

// A failure domain leaves and returns without a key out of service for longer
// than a handover, and its servers, which start cold, fill up again.
func TestDomainLeavesAndReturns(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		w.setOut("d1", true)
		time.Sleep(3 * time.Second)
		out := w.gap()
		w.settle()
		w.setOut("d1", false)
		time.Sleep(time.Second)
		for _, status := range w.holder.runtime.Status().Servers {
			is.True(status.State != "cold" || status.Ranges <= 1)
		}
		time.Sleep(30 * time.Second)
		for _, status := range w.holder.runtime.Status().Servers {
			is.True(status.Ranges >= 4) // half of an even share
		}
		is.True(out <= 50*time.Millisecond && w.gap() <= 50*time.Millisecond)
		t.Logf("longest gap while the domain left %v, while it returned %v", out, w.gap())
	})
}

// Guards against ranges that move to a standby because the server they were about
// to move to is lost, although their owner serves them.
func TestMoveToLostServerIsDropped(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		before, _ := w.store.committed()
		w.sampleStarts(before)
		uploads := w.enterAll(is)
		w.addServer("s99", "d0")
		time.Sleep(time.Second)
		is.True(w.holder.runtime.Status().PutOff > 0)
		w.update(func() { w.server("s99").setDown(true) })
		time.Sleep(5 * time.Second)
		for _, upload := range uploads {
			upload.Leave()
		}
		time.Sleep(60 * time.Second) // the longest backoff and then some
		for _, r := range before.Ranges {
			is.Equal(w.ownerName(r.Bounds.Start), r.Owner)
		}
	})
}

// sampleStarts replaces the sampled hashes by the first one of each range.
func (w *world) sampleStarts(a assign.Assignment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hashes = nil
	for _, r := range a.Ranges {
		w.hashes = append(w.hashes, r.Bounds.Start)
	}
}

// Guards against a departure that waits for a server which has just gone silent.
func TestDepartureAvoidsSilentTarget(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		w.store.setDown(true)
		row := w.committedRange(w.hashes[4])
		w.update(func() { w.server(row.FirstStandby).setDown(true) })
		time.Sleep(200 * time.Millisecond) // silent, not yet lost
		w.update(func() { w.server(row.Owner).leaving = true })
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.ownerName(w.hashes[4]), row.SecondStandby)
	})
}
