package facts

import (
	"hash/fnv"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// ListingDigest holds a digest of each bucket of a listing. Two listings whose digests of a
// bucket are equal have the same servers in it, apart from their cold starts, which end by
// different clocks.
//
// Digests are used in place of revisions: a server that changed and changed back between two
// readings of one instance would be missing in a history by revisions, and listings of the
// same revision differ while entries that expired in a store outage are retained.
type ListingDigest []uint64

// NewListingDigest returns the digest of the servers, divided into the given number of
// buckets, for which ValidPartitions holds.
func NewListingDigest(servers []fleet.Server, buckets int) ListingDigest {
	d := make(ListingDigest, buckets)
	var h hasher
	for i := range servers {
		s := &servers[i]
		h.text(s.Name)
		h.number(s.StartMS)
		h.text(s.Service)
		h.text(string(s.Address))
		h.text(s.Domain)
		h.number(int64(s.Slots))
		h.flag(s.Leaving)
		d[ListingBucket(s.Name, buckets)] += h.sum()
	}
	return d
}

// ListingBucket returns the bucket of a server.
func ListingBucket(name string, buckets int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() & uint32(buckets-1))
}
