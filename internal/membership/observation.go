package membership

import "peridotmoor.org/peridotmoor/internal/authority"

// Observation is one direct observation of an instance.
type Observation struct {
	Kind     ObservationKind
	Instance authority.Instance
	// Address and Domain are set, if known, with Responded and ReportedLeaving.
	Address string
	Domain  string
}
