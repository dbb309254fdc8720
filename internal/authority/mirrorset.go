package authority

import "slices"

// MirrorSet lists the instances that hold a complete copy of a shard's request
// records. It is immutable. A higher generation replaces a lower one.
type MirrorSet struct {
	Generation uint64
	Members    []Instance
}

func (m MirrorSet) Contains(i Instance) bool {
	return slices.Contains(m.Members, i)
}
