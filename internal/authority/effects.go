package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Effects are the actions and notifications that a Node passes to its driver.
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
