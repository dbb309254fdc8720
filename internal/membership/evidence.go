package membership

import "peridotmoor.org/peridotmoor/internal/authority"

// Evidence is one direct observation of an instance.
type Evidence struct {
	Kind     EvidenceKind
	Instance authority.Instance
	// Address and Domain are given with Answered and SaysLeaving when known.
	Address string
	Domain  string
}
