package link

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

func newResumeRegistry() *facts.Registry {
	return facts.NewRegistry(func(text []byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }, nil)
}

// randomStore changes what the store has at random, so that servers also change back.
type randomStore struct {
	random   *rand.Rand
	revision uint64
	servers  []fleet.Server
	out      []string
	owned    map[string][]owners.OwnedRange
	epoch    int64
}

func newRandomStore(seed uint64) *randomStore {
	s := &randomStore{random: rand.New(rand.NewPCG(1, seed)), owned: map[string][]owners.OwnedRange{}}
	for n := range 60 {
		s.servers = append(s.servers, fleet.Server{Incarnation: fleet.Incarnation{Name: fmt.Sprintf("s%03d", n)}, Service: "plots", Address: fleet.Address(fmt.Sprint("a", n)), Slots: 3})
	}
	for n := range 64 {
		s.owned["plots"] = append(s.owned["plots"], owners.OwnedRange{Interval: owners.Interval{From: 1024 * n, To: 1024*n + 1023}, Owner: "s000", Held: true})
	}
	return s
}

func (s *randomStore) change(now time.Time) {
	s.revision++
	for range s.random.IntN(4) {
		i := s.random.IntN(len(s.servers))
		switch s.random.IntN(5) {
		case 0, 1:
			s.servers[i].Leaving = !s.servers[i].Leaving
		case 2:
			s.servers[i].StartMS = int64(s.random.IntN(3))
		case 3:
			s.servers[i].ColdUntil = now.Add(time.Duration(s.random.IntN(2)) * time.Hour)
		default:
			if len(s.servers) > 30 {
				s.servers = slices.Delete(s.servers, i, i+1)
			}
		}
		s.owned["plots"] = slices.Clone(s.owned["plots"])
		s.owned["plots"][s.random.IntN(64)].Owner = fmt.Sprintf("s%03d", s.random.IntN(3))
	}
	s.out = []string{fmt.Sprint("d", s.random.IntN(2))}
	s.epoch++
}

func (s *randomStore) read(registry *facts.Registry, now time.Time) {
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c"), DomainsOut: slices.Clone(s.out), Revision: s.revision}, now)
	registry.UpdateListing(fleet.Listing{Revision: s.revision, Servers: slices.Clone(s.servers)}, now)
	registry.UpdateOwners(map[string][]owners.OwnedRange{"plots": s.owned["plots"]}, s.epoch)
	registry.ConfirmRead(now)
}

// overWire returns the message as its receiver decodes it.
func overWire(t *testing.T, f *linkpb.Facts) *linkpb.Facts {
	t.Helper()
	text, err := proto.Marshal(f)
	out := &linkpb.Facts{}
	if err == nil {
		err = proto.Unmarshal(text, out)
	}
	is.New(t).NoErr(err)
	return out
}

// Guards against an instance whose facts differ from those of the holder that it joins with
// facts of its own: a server that has begun to leave and the holder never saw leaving, or the
// other way, one that is gone, or a failure domain taken out. Readings of both happen at any
// revisions, and servers change back.
func TestJoinContinuesFromWhatTheInstanceKnows(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(200) {
		is := is.New(t)
		store := newRandomStore(seed)
		holder, follower := newResumeRegistry(), newResumeRegistry()
		for range store.random.IntN(12) {
			store.change(now)
			if store.random.IntN(2) == 0 {
				store.read(holder, now)
			}
			if store.random.IntN(3) == 0 {
				store.read(follower, now)
			}
		}
		store.change(now)
		store.read(holder, now)
		receiver := NewFactsReceiver(follower)
		known := receiver.Known()
		if store.random.IntN(2) == 0 {
			store.read(follower, now) // between the message that joins and its answer
		}
		receiver.Apply(overWire(t, NewResumption(holder.Snapshot()).Encode(known, now)), now, now)
		got, want := follower.Snapshot(), holder.Snapshot()
		is.Equal(got.OperatorSettings.DomainsOut, want.OperatorSettings.DomainsOut)
		is.Equal(got.ListingVersion, want.ListingVersion)
		is.Equal(len(got.Servers), len(want.Servers))
		for i, s := range want.Servers {
			is.Equal(got.Servers[i].Cold(now), s.Cold(now))
			s.ColdUntil = got.Servers[i].ColdUntil
			is.Equal(got.Servers[i], s)
		}
		is.Equal(got.Epoch, want.Epoch)
		is.Equal(facts.NewOwnersDigest(got.OwnedRanges, 8), facts.NewOwnersDigest(want.OwnedRanges, 8))

		// Later changes apply on top of what was resumed.
		base := want
		sent := SentSequences{OperatorSettings: base.OperatorSettingsSequence, Listing: base.ListingSequence, OwnedRanges: base.OwnedRangesSequence, Backpressure: base.BackpressureSequence}
		store.change(now)
		store.read(holder, now)
		receiver.Apply(overWire(t, EncodeFacts(holder.Snapshot(), sent, base, now)), now, now)
		is.Equal(facts.NewListingDigest(follower.Snapshot().Servers, 16), facts.NewListingDigest(holder.Snapshot().Servers, 16))
		is.Equal(facts.NewOwnersDigest(follower.Snapshot().OwnedRanges, 8), facts.NewOwnersDigest(holder.Snapshot().OwnedRanges, 8))
	}
}

// Guards against a holder that sends the whole listing, settings and owners to an instance that
// has nearly all of them, which all instances together cost 70 MB after each change of holder.
func TestJoinSendsOnlyWhatDiffers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	store := newRandomStore(1)
	holder, follower := newResumeRegistry(), newResumeRegistry()
	store.change(now)
	store.read(holder, now)
	store.read(follower, now)
	whole := NewResumption(holder.Snapshot()).Encode(EncodeKnown(newResumeRegistry().Snapshot()), now)
	is.Equal(len(whole.Listing.Servers), len(store.servers))
	same := NewResumption(holder.Snapshot()).Encode(EncodeKnown(follower.Snapshot()), now)
	is.Equal(same.Orders, nil)
	is.Equal(len(same.Ownership.Ranges), 0)
	for _, s := range same.Listing.Servers {
		is.True(s.ColdUs > 0) // cold starts end by the clock of each instance
	}
	store.servers[5].Leaving = !store.servers[5].Leaving
	store.revision++
	store.read(holder, now)
	differs := NewResumption(holder.Snapshot()).Encode(EncodeKnown(follower.Snapshot()), now)
	is.True(slices.ContainsFunc(differs.Listing.Servers, func(s *linkpb.Server) bool { return s.Name == store.servers[5].Name }))
	is.True(len(differs.Listing.Servers) < len(store.servers)/2)
}

// Guards against an instance that keeps its own facts although the holder, of a version that
// does not know what instances tell when they join, sends its whole listing; and against a
// holder that sends less than everything to an instance of such a version.
func TestJoinOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	store := newRandomStore(3)
	holder, follower := newResumeRegistry(), newResumeRegistry()
	store.change(now)
	store.read(follower, now)
	store.servers = store.servers[3:]
	store.change(now)
	store.read(holder, now)
	receiver := NewFactsReceiver(follower)
	receiver.Known()
	receiver.Apply(overWire(t, EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now)), now, now)
	is.Equal(names(follower), names(holder))

	older := newResumeRegistry()
	message := overWire(t, NewResumption(holder.Snapshot()).Encode(nil, now))
	is.Equal(message.Resumed, nil)
	NewFactsReceiver(older).Apply(message, now, now)
	is.Equal(names(older), names(holder))
}

// Guards against an instance that forgets a server that is leaving by its own responses, or
// one that never learns of it, when it joins a holder with the same listing.
func TestJoinKeepsLeavingServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	store := newRandomStore(4)
	holder, follower := newResumeRegistry(), newResumeRegistry()
	store.change(now)
	store.read(holder, now)
	store.read(follower, now)
	told, own := store.servers[1].Incarnation, store.servers[2].Incarnation
	holder.MergeBackpressure(told, backpressure.State{Leaving: true}, now)
	follower.MergeBackpressure(own, backpressure.State{Leaving: true}, now)
	receiver := NewFactsReceiver(follower)
	receiver.Apply(overWire(t, NewResumption(holder.Snapshot()).Encode(receiver.Known(), now)), now, now)
	is.True(follower.Snapshot().Backpressure.Of(told).Leaving)
	is.True(follower.Snapshot().Backpressure.Of(own).Leaving)
}

// Guards against a panic by a message that continues from facts that the instance never had.
func TestResumedWithoutFacts(t *testing.T) {
	now := time.Unix(1000, 0)
	receiver := NewFactsReceiver(newResumeRegistry())
	receiver.Known()
	receiver.Apply(&linkpb.Facts{Resumed: &linkpb.Resumed{Orders: true, Listing: true, ListingBuckets: []uint32{1 << 31}, Owners: true, OwnerSegments: []uint32{7}}}, now, now)
	NewFactsReceiver(newResumeRegistry()).Apply(&linkpb.Facts{Resumed: &linkpb.Resumed{Listing: true, Owners: true}}, now, now)
}
