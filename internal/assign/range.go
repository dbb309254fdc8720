package assign

import "peridotmoor.org/peridotmoor/internal/key"

// Range is a hash range with the names of its owner and its standbys.
type Range struct {
	Bounds key.Range
	// Owner is the server that is granted the range.
	Owner string
	// FirstStandby and SecondStandby take over, in this order, when the owner is
	// lost. They are empty when the shard has no suitable server.
	FirstStandby  string
	SecondStandby string
}

// HasStandby reports whether server is one of the range's standbys.
func (r Range) HasStandby(server string) bool {
	return server != "" && (r.FirstStandby == server || r.SecondStandby == server)
}
