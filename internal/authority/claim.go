package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Claim collects the promises for one shard under one token: those of a
// candidate until it has a quorum, and those of the holder afterwards. It does
// no I/O.
type Claim struct {
	shard    key.ShardID
	self     Instance
	token    Token
	config   WitnessConfig
	promises map[Instance]grantedPromise
	// reportedMirrors is the latest mirror set that a member reported.
	reportedMirrors MirrorSet
}

// NewClaim returns a claim without promises.
func NewClaim(shard key.ShardID, self Instance, ballot uint64, config WitnessConfig) *Claim {
	return &Claim{
		shard:    shard,
		self:     self,
		token:    Token{Epoch: config.Epoch, Ballot: ballot},
		config:   config,
		promises: map[Instance]grantedPromise{},
	}
}

func (c *Claim) Token() Token { return c.token }

// Config returns the witness configuration under which the claim is made.
func (c *Claim) Config() WitnessConfig { return c.config }

// Targets returns the members to send the claim to: all witnesses at each
// renewal, and members of previous sets until they are sealed or terminated.
func (c *Claim) Targets(terminated func(Instance) bool) []Member {
	targets := make([]Member, 0, len(c.config.Witnesses))
	for _, m := range c.config.Members() {
		_, sealed := c.promises[m.Instance]
		if c.config.Rank(m.Instance) >= 0 || !sealed && !terminated(m.Instance) {
			targets = append(targets, m)
		}
	}
	return targets
}

// AddPromise records that member promised a request sent at the given time,
// with the mirror set that it knows. Replies may arrive in any order.
func (c *Claim) AddPromise(member Instance, sent time.Time, mirrors MirrorSet) {
	promise := c.promises[member]
	if sent.After(promise.sentAt) {
		promise.sentAt = sent
	}
	promise.generation = max(promise.generation, mirrors.Generation)
	if mirrors.Generation > c.reportedMirrors.Generation {
		c.reportedMirrors = mirrors
	}
	c.promises[member] = promise
}

// Quorum returns the quorum computation for the promises received so far.
func (c *Claim) Quorum(terminated func(Instance) bool) Quorum {
	return Quorum{
		Config:      c.config,
		PromiseSent: func(i Instance) time.Time { return c.promises[i].sentAt },
		Terminated:  terminated,
	}
}

// MirrorsAcknowledged reports whether a majority of the witnesses knows the
// mirror set of this generation or a later one.
func (c *Claim) MirrorsAcknowledged(generation uint64) bool {
	count := 0
	for _, m := range c.config.Witnesses {
		if c.promises[m.Instance].generation >= generation {
			count++
		}
	}
	return count >= Majority(len(c.config.Witnesses))
}
