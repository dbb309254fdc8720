package link

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

func listed(revision uint64, names ...string) fleet.Listing {
	listing := fleet.Listing{Revision: revision}
	for _, n := range names {
		listing.Servers = append(listing.Servers, fleet.Server{Incarnation: fleet.Incarnation{Name: n}, Address: fleet.Address(n)})
	}
	return listing
}

func names(registry *facts.Registry) []string {
	var out []string
	for _, s := range registry.Snapshot().Servers {
		out = append(out, s.Name)
	}
	return out
}

// Guards against an instance that keeps a listing that it read itself. The listing of
// the holder was older at first and rejected; later it is the newest again, but the
// holder does not send it a second time.
func TestHoldersListingIsTakenOnceItIsTheNewest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registry := facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(registry)
	with := &linkpb.Listing{Servers: []*linkpb.Server{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}}
	receiver.Apply(&linkpb.Facts{Listing: with, ListingRevision: 10}, now, now)
	is.Equal(names(registry), []string{"a", "b"})
	registry.UpdateListing(listed(15, "a"), now) // the entry of b was missing for a moment
	receiver.Apply(&linkpb.Facts{ListingRevision: 12}, now, now)
	is.Equal(names(registry), []string{"a"})
	receiver.Apply(&linkpb.Facts{ListingRevision: 20}, now, now)
	is.Equal(names(registry), []string{"a", "b"})
}

// Guards against facts that were in flight while this process was suspended. When they
// arrive, they appear to be newer than those of the current holder.
func TestDelayedFactsDoNotHideNewerOnes(t *testing.T) {
	is := is.New(t)
	resumedAt := time.Unix(1000, 0)
	registry := facts.NewRegistry(nil, nil)
	old := &linkpb.Listing{Servers: []*linkpb.Server{{Name: "old", Address: "a"}}}
	next := &linkpb.Listing{Servers: []*linkpb.Server{{Name: "new", Address: "b"}}}
	NewFactsReceiver(registry).Apply(&linkpb.Facts{Listing: old, ListingRevision: 10}, resumedAt.Add(20*time.Millisecond), resumedAt.Add(20*time.Millisecond))
	NewFactsReceiver(registry).Apply(&linkpb.Facts{Listing: next, ListingRevision: 11}, resumedAt.Add(-70*time.Millisecond), resumedAt.Add(30*time.Millisecond))
	is.Equal(names(registry), []string{"new"})
	NewFactsReceiver(registry).Apply(&linkpb.Facts{Listing: old, ListingRevision: 10}, resumedAt.Add(40*time.Millisecond), resumedAt.Add(40*time.Millisecond))
	is.Equal(names(registry), []string{"new"})
}

// Guards against followers whose facts differ from those of the holder after they
// received only changes in several messages, and against a message with the whole fleet
// for each change.
func TestFollowersLearnFromChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, follower := facts.NewRegistry(nil, nil), facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(follower)
	var sent SentSequences
	var base *facts.Snapshot
	sync := func() int {
		snapshot := holder.Snapshot()
		message := EncodeFacts(snapshot, sent, base, now)
		base, sent = snapshot, SentSequences{OperatorSettings: snapshot.OperatorSettingsSequence, Listing: snapshot.ListingSequence, OwnedRanges: snapshot.OwnedRangesSequence}
		receiver.Apply(message, now, now)
		is.Equal(names(follower), names(holder))
		is.Equal(follower.Snapshot().OwnedRanges, holder.Snapshot().OwnedRanges)
		return proto.Size(message)
	}
	sync()
	var many []string
	var ranges []owners.OwnedRange
	for n := range 200 {
		many = append(many, fmt.Sprintf("s%03d", n))
		ranges = append(ranges, owners.OwnedRange{Interval: owners.Interval{From: 10 * n, To: 10*n + 9}, Owner: many[n], Held: true})
	}
	holder.UpdateListing(listed(1, many...), now)
	holder.UpdateOwners(map[string][]owners.OwnedRange{"plots": ranges}, 1)
	full := sync()
	holder.UpdateListing(listed(2, append(many[3:], "x")...), now) // three leave, one joins
	moved := slices.Clone(ranges)
	moved[7].Owner, moved[8].Held = "x", false
	holder.UpdateOwners(map[string][]owners.OwnedRange{"plots": moved, "more": ranges[:1]}, 1)
	is.True(sync() < full/10)
	holder.UpdateListing(listed(3, many...), now)
	holder.UpdateOwners(map[string][]owners.OwnedRange{"plots": ranges}, 2)
	sync()
}

// Guards against congestion at the holder when all followers read the store for it at
// the same time and send back what it already knows.
func TestFollowerSendsOnlyWhatDiffersFromTheHolder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, follower := facts.NewRegistry(nil, nil), facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(follower)
	holder.UpdateListing(listed(1, "a", "b"), now)
	message := EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now)
	receiver.Apply(message, now, now)
	follower.UpdateListing(listed(5, "a", "b"), now) // the follower's own read, with the same servers
	follower.ConfirmRead(now)
	reading, readAt := receiver.EncodeReading(now)
	is.Equal(reading.Listing, nil)
	is.Equal(readAt, now)
	follower.UpdateListing(listed(6, "a"), now)
	reading, _ = receiver.EncodeReading(now)
	is.Equal(len(reading.Listing.Servers), 1)
	NewFactsReceiver(holder).Apply(reading, now, now)
	is.Equal(names(holder), []string{"a"})
}
