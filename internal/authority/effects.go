package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Effects is what a Node asks its driver to do.
type Effects struct {
	Sends     []Send
	Loads     []key.ShardID
	Proposals []Proposal
	Probes    []Member
	Published []Publication
	HandOvers []HandOver
	Events    []Event
	Configs   []ConfigChange
	Accepted  []Acceptance
}
