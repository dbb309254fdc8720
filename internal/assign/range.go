package assign

import "peridotmoor.org/peridotmoor/internal/key"

// Range is one hash range with the servers that may own it, by name.
type Range struct {
	Bounds key.Range
	// Owner is the server that is granted the range.
	Owner string
	// FirstStandby and Second take over, in this order, when the owner is lost. Empty
	// when the shard has no suitable server.
	FirstStandby  string
	SecondStandby string
}

// HasStandby reports whether server is one of the range's standbys.
func (r Range) HasStandby(server string) bool {
	return server != "" && (r.FirstStandby == server || r.SecondStandby == server)
}
