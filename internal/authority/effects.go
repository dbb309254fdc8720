package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Send asks the driver to send a request to a witness.
type Send struct {
	To      Member
	Request PromiseRequest
	// At is when the request was decided, which is before it is sent. Tenures
	// are measured from it.
	At time.Time
}

// Proposal asks the driver to write a configuration if the record still has the
// configuration Base. A record that does not exist has the zero configuration.
type Proposal struct {
	Shard key.ShardID
	Base  Config
	Next  Config
}

// Publication is a change of the tenure of a shard; nil when it is not held.
type Publication struct {
	Shard  key.ShardID
	Tenure *Tenure
}

// HandOver is the advice to hand a held shard over to its preferred holder.
type HandOver struct {
	Shard key.ShardID
	To    Member
}

// ConfigChange reports the latest configuration known of a shard.
type ConfigChange struct {
	Shard  key.ShardID
	Config Config
}

// Acceptance reports the highest claim that the own witness has accepted.
type Acceptance struct {
	Shard  key.ShardID
	Token  Token
	Holder Instance
}

// Effects is what a Node asks its driver to do.
type Effects struct {
	Sends     []Send
	Loads     []key.ShardID
	Proposals []Proposal
	Probes    []Member
	Published []Publication
	HandOvers []HandOver
	Notes     []Note
	Configs   []ConfigChange
	Accepted  []Acceptance
}
