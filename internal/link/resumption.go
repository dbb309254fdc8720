package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Resumption converts a snapshot for instances that join and have told what they know. It
// keeps what several of them need and is not safe for concurrent use.
type Resumption struct {
	snapshot *facts.Snapshot
	settings uint64
	// listings and owned hold digests by their number of parts.
	listings map[int]facts.ListingDigest
	owned    map[int]facts.OwnersDigest
}

// NewResumption returns the Resumption of a snapshot.
func NewResumption(snapshot *facts.Snapshot) *Resumption {
	return &Resumption{
		snapshot: snapshot, settings: facts.SettingsDigest(snapshot.OperatorSettings),
		listings: map[int]facts.ListingDigest{}, owned: map[int]facts.OwnersDigest{},
	}
}

// Snapshot returns the snapshot that is converted.
func (r *Resumption) Snapshot() *facts.Snapshot {
	return r.snapshot
}

// Encode converts the snapshot for an instance that joins and has told what it knows, or nil.
// Of the parts that it has, only what differs is included.
func (r *Resumption) Encode(known *linkpb.Known, now time.Time) *linkpb.Facts {
	s := r.snapshot
	resumed := &linkpb.Resumed{
		Orders:  s.OperatorSettingsSequence != 0 && r.settings != 0 && known.GetOrders() == r.settings,
		Listing: s.ListingSequence != 0 && facts.ValidPartitions(len(known.GetListing())),
		Owners:  s.OwnedRangesSequence != 0 && facts.ValidPartitions(len(known.GetOwners())),
	}
	var sent SentSequences
	if resumed.Orders {
		sent.OperatorSettings = s.OperatorSettingsSequence
	}
	if resumed.Listing {
		sent.Listing = s.ListingSequence
	}
	if resumed.Owners {
		sent.OwnedRanges = s.OwnedRangesSequence
	}
	out := EncodeFacts(s, sent, nil, now)
	if known != nil {
		out.Resumed = resumed
	}
	if resumed.Listing {
		r.resumeListing(out, known.Listing, now)
	}
	if resumed.Owners {
		r.resumeOwners(out, known.Owners)
	}
	return out
}

// resumeListing adds the servers of buckets that differ, and the cold servers.
func (r *Resumption) resumeListing(out *linkpb.Facts, known []uint64, now time.Time) {
	buckets := len(known)
	if r.listings[buckets] == nil {
		r.listings[buckets] = facts.NewListingDigest(r.snapshot.Servers, buckets)
	}
	differs := differing(known, r.listings[buckets])
	out.Resumed.ListingBuckets = indexes(differs)
	var sent []fleet.Server
	for _, s := range r.snapshot.Servers {
		if len(out.Resumed.ListingBuckets) > 0 && differs[facts.ListingBucket(s.Name, buckets)] || s.Cold(now) {
			sent = append(sent, s)
		}
	}
	out.Listing = &linkpb.Listing{Changes: true, Servers: encodeServers(sent, now)}
}

// resumeOwners adds the ranges of segments that differ.
func (r *Resumption) resumeOwners(out *linkpb.Facts, known []uint64) {
	segments := len(known)
	if r.owned[segments] == nil {
		r.owned[segments] = facts.NewOwnersDigest(r.snapshot.OwnedRanges, segments)
	}
	differs := differing(known, r.owned[segments])
	out.Ownership = &linkpb.Ownership{Changes: true}
	out.Resumed.OwnerSegments = indexes(differs)
	if len(out.Resumed.OwnerSegments) == 0 {
		return
	}
	sent := map[string][]owners.OwnedRange{}
	for service, ranges := range r.snapshot.OwnedRanges {
		for _, owned := range facts.SplitRanges(ranges, segments) {
			if differs[facts.OwnersSegment(owned, segments)] {
				sent[service] = append(sent[service], owned)
			}
		}
	}
	out.Ownership.Ranges = encodeOwnership(nil, sent).Ranges
}

// differing tells for each part whether its digests differ.
func differing(known, current []uint64) []bool {
	out := make([]bool, len(known))
	for i := range known {
		out[i] = known[i] != current[i]
	}
	return out
}

func indexes(set []bool) []uint32 {
	var out []uint32
	for i, in := range set {
		if in {
			out = append(out, uint32(i))
		}
	}
	return out
}
