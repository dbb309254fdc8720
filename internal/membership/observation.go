package membership

import "peridotmoor.org/peridotmoor/internal/authority"

// Observation is one direct observation of an instance.
type Observation struct {
	Kind     ObservationKind
	Instance authority.Instance
	// Address and Domain are given with Answered and SaysLeaving when known.
	Address string
	Domain  string
}
