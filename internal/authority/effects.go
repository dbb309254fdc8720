package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Effects is what a Node asks its driver to do.
type Effects struct {
	Requests       []OutgoingRequest
	RecordReads    []key.ShardID
	Proposals      []Proposal
	Probes         []Member
	TenureChanges  []TenureChange
	HandOvers      []HandOver
	Events         []Event
	ConfigChanges  []ConfigChange
	AcceptedClaims []AcceptedClaim
}
