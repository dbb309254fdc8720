package route

import (
	"sort"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// View is what a request reads about one shard. It is immutable.
type View struct {
	Shard  key.ShardID
	Keyed  bool
	Tenure *authority.Tenure
	// Ranges covers the shard's interval without gaps, ordered by start.
	Ranges []Range
	// Targets lists all servers that may get new work, ordered by name. Requests
	// of services that are not partitioned by key choose among them.
	Targets []*Target
	// Generation rises with each published view of the shard.
	Generation uint64
}

// Find returns the row that contains h, or nil when the view has none.
func (v *View) Find(h key.Hash) *Range {
	i := sort.Search(len(v.Ranges), func(i int) bool { return v.Ranges[i].Bounds.Start > h }) - 1
	if i < 0 || !v.Ranges[i].Bounds.Contains(h) {
		return nil
	}
	return &v.Ranges[i]
}
