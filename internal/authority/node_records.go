package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// outdatedReadRetryMax bounds the pause between reads of a record that is known to
// be outdated, so that a shard is served soon after an outage of the store.
const outdatedReadRetryMax = 2 * time.Second

// RecordRead takes the configuration read from the record of a shard. found is false
// when there is no record yet.
func (n *Node) RecordRead(now time.Time, shard key.ShardID, config WitnessConfig, found bool) {
	s := n.shardState(shard)
	s.reading = false
	s.recordMissing = !found
	if found && n.updateConfig(now, s, config) {
		s.readBackoff = n.timing.RecordReadRetryMin
	}
	n.scheduleRecordRead(now, s)
	n.restoreRecord(now, s, config)
}

// restoreRecord writes the configuration of the holder back when the store has
// an older record or none, as it may after an outage. Instances that read the
// older one would otherwise ask witnesses that are replaced.
func (n *Node) restoreRecord(now time.Time, s *shardState, stored WitnessConfig) {
	if s.activeClaim == nil || s.pendingClaim != nil || s.committing || !s.inSettings {
		return
	}
	if stored.Epoch >= s.activeClaim.config.Epoch || s.lastProposalAt.Add(minProposalInterval).After(now) {
		return
	}
	s.committing = true
	s.lastProposalAt = now
	n.effects.Proposals = append(n.effects.Proposals, Proposal{Shard: s.id, Base: stored, Next: s.activeClaim.config})
}

// RecordReadFailed takes the failure to read the record of a shard.
func (n *Node) RecordReadFailed(now time.Time, shard key.ShardID) {
	s := n.shardState(shard)
	s.reading = false
	n.scheduleRecordRead(now, s)
}

// ProposalCommitted takes the configuration that the record has after a proposal. It is
// another one than proposed when another writer was first.
func (n *Node) ProposalCommitted(now time.Time, proposal Proposal, config WitnessConfig) {
	s := n.shardState(proposal.Shard)
	s.committing = false
	s.recordMissing = false
	won := config.Equal(proposal.Next)
	if won {
		n.reportCommitted(s, proposal)
		s.createdEpoch = s.activeClaim == nil && s.config.Epoch < config.Epoch
	}
	n.updateConfig(now, s, config)
}

// ProposalFailed takes the failure of a proposal. It may still take effect, so the
// record is read again.
func (n *Node) ProposalFailed(now time.Time, proposal Proposal) {
	s := n.shardState(proposal.Shard)
	s.committing = false
	n.markConfigOutdated(now, s)
}

func (n *Node) reportCommitted(s *shardState, p Proposal) {
	token := Token{Epoch: p.Next.Epoch}
	switch {
	case p.Base.Epoch == 0:
		n.reportEvent(EventRecordCreated, s, token, Instance{})
	case p.Base.Epoch == p.Next.Epoch:
		n.reportEvent(EventPreviousWitnessesCleared, s, token, Instance{})
	case s.activeClaim == nil:
		n.reportEvent(EventWitnessMajorityLost, s, token, Instance{})
	default:
		n.reportEvent(EventWitnessesChanged, s, token, Instance{})
	}
}

// updateConfig takes a configuration from the record and reports whether it is new.
// Older ones are ignored, also when the store returns an older value.
func (n *Node) updateConfig(now time.Time, s *shardState, config WitnessConfig) bool {
	s.configOutdated = max(s.highestToken.Epoch, n.witness.Promise(s.id).Highest.Epoch) > config.Epoch
	newer := config.Epoch > s.config.Epoch
	settled := config.Epoch == s.config.Epoch && len(config.Previous) < len(s.config.Previous)
	if !newer && !settled {
		return false
	}
	s.config = config
	s.configLearnedAt = now
	n.effects.ConfigChanges = append(n.effects.ConfigChanges, ConfigChange{Shard: s.id, Config: config})
	if s.activeClaim == nil {
		if s.pendingClaim != nil && newer {
			n.abandonCampaign(now, s)
		}
		return true
	}
	if newer {
		s.pendingClaim = n.newClaim(s)
		n.sendClaims(now, s)
		return true
	}
	if s.activeClaim.config.Epoch == config.Epoch {
		s.activeClaim.config = config
	}
	return true
}

// wantsRecordRead reports whether the record is read when loadAt comes. The holder
// checks it now and then; a witness whose promise is in force needs nothing.
func (n *Node) wantsRecordRead(now time.Time, s *shardState) bool {
	if !s.inSettings || s.reading || s.committing || n.leaving {
		return false
	}
	if s.configOutdated {
		return true
	}
	if s.activeClaim != nil {
		return true
	}
	if n.witness.Promise(s.id).InForce(now) {
		return s.configLearnedAt.IsZero()
	}
	return s.monitorsRecord || s.config.Rank(n.self.Instance) >= 0
}

func (n *Node) readRecordIfDue(now time.Time, s *shardState) {
	if !n.wantsRecordRead(now, s) || s.nextReadAt.After(now) {
		return
	}
	s.reading = true
	s.lastReadAt = now
	n.effects.RecordReads = append(n.effects.RecordReads, s.id)
}

// markConfigOutdated asks for a read of the record soon. A witness that knows only an
// older epoch cannot become the holder.
func (n *Node) markConfigOutdated(now time.Time, s *shardState) {
	if s.configOutdated {
		return
	}
	s.configOutdated = true
	s.readBackoff = n.timing.RecordReadRetryMin
	s.nextReadAt = earlierTime(s.nextReadAt, latestTime(now, s.lastReadAt.Add(n.timing.RecordReadRetryMin)))
}

// scheduleRecordRead sets the next read, with growing pauses and a quarter of jitter
// so that processes do not read in step.
func (n *Node) scheduleRecordRead(now time.Time, s *shardState) {
	s.readBackoff = max(s.readBackoff, n.timing.RecordReadRetryMin)
	jitter := time.Duration(n.rng.Int64N(int64(s.readBackoff)/4 + 1))
	s.nextReadAt = now.Add(s.readBackoff + jitter)
	longest := n.timing.RecordReadRetryMax
	if s.configOutdated {
		longest = outdatedReadRetryMax
	}
	s.readBackoff = min(2*s.readBackoff, longest)
}
