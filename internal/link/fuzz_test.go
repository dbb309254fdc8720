package link

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// newKnowingRegistry returns the registry of an instance that has a listing, settings and owners.
func newKnowingRegistry(now time.Time) *facts.Registry {
	registry := newResumeRegistry()
	registry.UpdateListing(listed(5, "a", "b", "c"), now)
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Revision: 5, Config: []byte("1")}, now)
	registry.UpdateOwners(map[string][]owners.OwnedRange{"s": {{Interval: owners.Interval{To: owners.NumKeys - 1}, Owner: "a", Held: true}}}, 1)
	return registry
}

// FuzzFacts guards against facts of a holder, packed or resumed, that make an instance panic
// when it applies them or when it tells the next holder what it knows.
func FuzzFacts(f *testing.F) {
	for _, seed := range []*linkpb.Facts{
		{Epoch: 2, Era: 1, ListingRevision: 7, OrdersRevision: 7, Resumed: &linkpb.Resumed{Orders: true, Listing: true, ListingBuckets: []uint32{0, 1 << 31}, Owners: true, OwnerSegments: []uint32{0}}, Listing: &linkpb.Listing{Changes: true, Servers: []*linkpb.Server{{Name: "d"}, {Name: "d"}}, Gone: []string{"d"}}},
		{Epoch: 2, Ownership: &linkpb.Ownership{Changes: true, Ranges: []*linkpb.OwnedRange{{Service: "s", From: -5, To: 1 << 30, Owner: "b"}, {Service: "s", From: 9, To: 3}}}},
		{Epoch: 2, ListingRevision: 7, Listing: &linkpb.Listing{More: true, Servers: []*linkpb.Server{{Name: "d", ColdUs: -1}}}},
	} {
		packed, err := pack(seed)
		if err != nil {
			f.Fatal(err)
		}
		for _, message := range []*linkpb.Facts{seed, packed} {
			text, err := proto.Marshal(message)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		message := &linkpb.Facts{}
		if proto.Unmarshal(text, message) != nil {
			return
		}
		now := time.Unix(1000, 0)
		registry := newKnowingRegistry(now)
		receiver := NewFactsReceiver(registry)
		receiver.Known()
		receiver.Apply(message, now, now)
		receiver.Apply(message, now, now)
		EncodeKnown(registry.Snapshot())
		receiver.EncodeReading(now)
	})
}

// FuzzKnown guards against what an instance tells when it joins that makes the holder panic.
func FuzzKnown(f *testing.F) {
	now := time.Unix(1000, 0)
	text, err := proto.Marshal(EncodeKnown(newKnowingRegistry(now).Snapshot()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		known := &linkpb.Known{}
		if proto.Unmarshal(text, known) != nil {
			return
		}
		snapshot := newKnowingRegistry(now).Snapshot()
		whole := NewResumption(snapshot).Encode(known, now)
		if _, err := NewJoinReply(whole, snapshot, known.TakesParts); err != nil {
			t.Fatal(err)
		}
	})
}
