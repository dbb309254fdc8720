package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// EncodeResumed converts a snapshot for an instance that joins and has told what it knows, or
// nil. Of the parts that it has, only what differs is included.
func EncodeResumed(snapshot *facts.Snapshot, known *linkpb.Known, now time.Time) *linkpb.Facts {
	out := EncodeFacts(snapshot, SentSequences{}, nil, now)
	if known == nil {
		return out
	}
	out.Resumed = &linkpb.Resumed{}
	if out.Orders != nil && known.Orders != 0 && known.Orders == facts.SettingsDigest(snapshot.OperatorSettings) {
		out.Orders, out.Resumed.Orders = nil, true
	}
	if out.Listing != nil && facts.ValidPartitions(len(known.Listing)) {
		resumeListing(out, snapshot.Servers, known.Listing, now)
	}
	if out.Ownership != nil && facts.ValidPartitions(len(known.Owners)) {
		resumeOwners(out, snapshot.OwnedRanges, known.Owners)
	}
	return out
}

// resumeListing leaves only the servers of buckets that differ, and the cold servers, in out.
func resumeListing(out *linkpb.Facts, servers []fleet.Server, known []uint64, now time.Time) {
	differs := differing(known, facts.NewListingDigest(servers, len(known)))
	var sent []fleet.Server
	for _, s := range servers {
		if differs[facts.ListingBucket(s.Name, len(known))] || s.Cold(now) {
			sent = append(sent, s)
		}
	}
	out.Listing = &linkpb.Listing{Changes: true, Servers: encodeServers(sent, now)}
	out.Resumed.Listing, out.Resumed.ListingBuckets = true, indexes(differs)
}

// resumeOwners leaves only the ranges of segments that differ in out.
func resumeOwners(out *linkpb.Facts, owned map[string][]owners.OwnedRange, known []uint64) {
	differs := differing(known, facts.NewOwnersDigest(owned, len(known)))
	sent := map[string][]owners.OwnedRange{}
	for service, ranges := range owned {
		for _, r := range facts.SplitRanges(ranges, len(known)) {
			if differs[facts.OwnersSegment(r, len(known))] {
				sent[service] = append(sent[service], r)
			}
		}
	}
	out.Ownership = encodeOwnership(nil, sent)
	out.Ownership.Changes = true
	out.Resumed.Owners, out.Resumed.OwnerSegments = true, indexes(differs)
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
