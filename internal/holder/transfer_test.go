package holder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// transferStore is a list of servers that only begin to leave, so that a later state has all
// that an earlier one has.
type transferStore struct {
	servers []fleet.Server
	// era and revision are those of the store, whose revisions go back when an era begins.
	era, revision uint64
	readings      int64
	domains       int
	// leavingAt holds, by the time of a reading, the number of leaving servers.
	leavingAt map[time.Time]int
}

func (s *transferStore) read(registry *facts.Registry, now time.Time) {
	s.revision++
	s.readings++
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: playConfig(1), DomainsOut: []string{fmt.Sprint("d", s.domains)}, Era: s.era, Revision: s.revision}, now)
	registry.UpdateListing(fleet.Listing{Era: s.era, Revision: s.revision, Servers: slices.Clone(s.servers)}, now)
	registry.UpdateOwners(map[string][]owners.OwnedRange{"keyed": {{Interval: owners.Interval{To: owners.NumKeys - 1}, Owner: fmt.Sprint("o", s.readings), Held: true}}}, s.readings)
	registry.ConfirmRead(now)
	s.leavingAt[now] = leavingIn(s.servers)
}

func leavingIn(servers []fleet.Server) int {
	n := 0
	for _, s := range servers {
		if s.Leaving {
			n++
		}
	}
	return n
}

// Guards against an instance that gets the listing in parts and takes it for newer than it is,
// misses a change that is made meanwhile, or waits with the settings until it is complete. The
// store changes, enters a later era in every third play, and the instance acknowledges, at random
// moments.
func TestChangesDuringATransfer(t *testing.T) {
	for seed := range uint64(12) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(7, seed))
		c := newPlacingCoordinator(t)
		c.registry = newPlayRegistry()
		store := &transferStore{leavingAt: map[time.Time]int{}}
		for n := range 1200 {
			store.servers = append(store.servers, fleet.Server{Incarnation: fleet.Incarnation{Name: fmt.Sprintf("server-%04d", n)}, Service: "keyed", Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:8080", n/250, n%250)), Domain: "d1", Slots: 3})
		}
		change := func(now time.Time) {
			for range random.IntN(3) {
				store.servers[random.IntN(len(store.servers))].Leaving = true
			}
			if random.IntN(3) == 0 {
				store.domains++
			}
			if seed%3 == 2 && store.revision > 0 && random.IntN(8) == 0 {
				store.era, store.revision = store.era+1, 0
			}
			store.read(c.registry, now)
		}
		began := time.Now()
		change(began)

		instance := newPlayRegistry()
		if seed%2 == 1 { // it has facts, most of which have changed since
			old := slices.Clone(store.servers)
			for i := range old {
				old[i].Slots = 2
			}
			instance.UpdateListing(fleet.Listing{Servers: old}, began)
			instance.UpdateOperatorSettings(fleet.OperatorSettings{Config: playConfig(1)}, began)
		}
		receiver := link.NewFactsReceiver(instance)
		known := receiver.Known()
		known.TakesParts = true
		messages := make(chan *linkpb.Down, 100)
		l := link.JoinLocal(c, link.Member{Instance: "i", Known: known}, receiver.Clock(), func(down *linkpb.Down) { messages <- down })
		c.drainQueue()
		follower := c.byName["i"]
		is.True(follower.Transferring())
		parts, acknowledged, publishedAll := uint32(0), uint32(0), false
		// The first message is certain to come; later ones only may.
		receive := func(wait time.Duration) bool {
			select {
			case down := <-messages:
				for _, f := range down.Facts {
					receiver.Apply(f, receiver.DecodeTime(down.ReadUs), time.Now())
					if len(f.Packed) > 0 {
						parts++
					}
				}
				return true
			case <-time.After(wait):
				return false
			}
		}
		check := func() {
			snapshot, readAt := instance.ReadSnapshot()
			if readAt.IsZero() {
				return
			}
			known := 0
			for at, n := range store.leavingAt {
				if !at.After(readAt) {
					known = max(known, n)
				}
			}
			is.True(leavingIn(snapshot.Servers) >= known) // a message said that the store was read then
		}
		is.True(receive(10 * time.Second))
		is.Equal(instance.Snapshot().OperatorSettings.DomainsOut, c.registry.Snapshot().OperatorSettings.DomainsOut) // before any listing
		is.True(parts == 0)
		now := began
		for step := 0; step < 400 && !publishedAll; step++ {
			now = now.Add(time.Millisecond)
			switch random.IntN(4) {
			case 0:
				change(now)
			case 1:
				c.publish(now.Add(time.Duration(random.IntN(2)) * time.Second))
			case 2:
				c.joins.sendParts(now)
			case 3:
				if acknowledged < parts {
					acknowledged = parts
					l.Send(&linkpb.Up{Parts: parts})
					c.drainQueue()
				}
			}
			for receive(5 * time.Millisecond) {
				check()
			}
			publishedAll = !follower.Transferring() && step > 50
		}
		is.True(publishedAll)
		c.publish(now.Add(time.Hour))
		for receive(5 * time.Millisecond) {
			check()
		}
		told, end := c.registry.Snapshot(), time.Now().Add(4*time.Second) // an instance keeps what an era has lost until then
		receiver.Apply(link.EncodeFacts(told, sequencesOf(told), told, end), end, end)
		is.Equal(instance.Snapshot().Servers, c.registry.Snapshot().Servers)
		is.Equal(instance.Snapshot().OperatorSettings.DomainsOut, c.registry.Snapshot().OperatorSettings.DomainsOut)
		is.Equal(instance.Snapshot().OwnedRanges, c.registry.Snapshot().OwnedRanges)
		is.True(!c.registry.Snapshot().ListingVersion.Before(instance.Snapshot().ListingVersion))
		l.Close()
		c.drainQueue()
		is.Equal(len(c.joins.transferring), 0)
	}
}

// Guards against listings that take all of the holder's link from its orders and decisions.
func TestTransfersArePaced(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := pace{perSecond: 1000, burst: 100}
	sent := 0
	for range 2000 {
		now = now.Add(time.Millisecond)
		for p.take(now, 30) {
			sent += 30
		}
	}
	is.True(sent > 1900 && sent <= 2130)
	is.True((&pace{perSecond: 1000, burst: 10}).take(now, 30)) // a part larger than the burst
}

// Guards against replies to instances that have joined long ago, each with a listing, which stay
// in the memory of the holder until the next join.
func TestRepliesAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var j joins
	_, err := j.reply(newPlayRegistry().Snapshot(), nil, now, func(*linkpb.Facts) {})
	is.NoErr(err)
	j.forgetReplies(now.Add(replyMaxAge))
	is.Equal(len(j.replies), 1)
	j.forgetReplies(now.Add(replyMaxAge + time.Millisecond))
	is.Equal(len(j.replies), 0)
	is.Equal(j.resumption, nil)
}

// Guards against decisions that found the queue of a link full and then wait for the next
// heartbeat, by when the instance has placed the requests itself.
func TestDecisionsBeyondTheQueueDoNotWaitForAHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newPlacingCoordinator(t)
	reading, verdicts := make(chan struct{}), make(chan int, 2000)
	l := link.JoinLocal(c, link.Member{Instance: "i"}, link.NewClock(), func(down *linkpb.Down) {
		<-reading
		verdicts <- len(down.Verdicts)
	})
	defer l.Close()
	c.drainQueue()
	const sent = 1000
	for n := range uint64(sent) {
		c.byName["i"].Send(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: n}}})
	}
	now := time.Now()
	c.heartbeatAt = now
	close(reading)
	arrived := 0
	for arrived < sent {
		select {
		case n := <-verdicts:
			arrived += n
		case <-time.After(20 * time.Millisecond):
			is.True(time.Since(now) < 5*time.Second)
			c.publish(now) // no heartbeat is due
		}
	}
}
