package route

import (
	"sort"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// View is an immutable snapshot of the routing of one shard.
type View struct {
	Shard  key.ShardID
	Keyed  bool
	Tenure *authority.Tenure
	// Ranges covers the shard's hash interval without gaps, in order of start.
	Ranges []Range
	// Targets lists the servers that accept new requests, in order of name. Services
	// that are not partitioned by key choose among them.
	Targets []*Target
	// Generation increases with each published view of the shard.
	Generation uint64
}

// Find returns the range that contains h, or nil when the view does not cover h.
func (v *View) Find(h key.Hash) *Range {
	i := sort.Search(len(v.Ranges), func(i int) bool { return v.Ranges[i].Bounds.Start > h }) - 1
	if i < 0 || !v.Ranges[i].Bounds.Contains(h) {
		return nil
	}
	return &v.Ranges[i]
}
