package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// outdatedReadRetryMax bounds the delay between reads while the known
// configuration is outdated, so that the shard is served again soon after a
// store outage.
const outdatedReadRetryMax = 2 * time.Second

// RecordRead processes the configuration read from the record of a shard. found
// is false if there is no record.
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

// restoreRecord writes the holder's configuration back if the store has an
// older record or none, which can happen after a store outage. Instances that
// read the older record would otherwise send claims to witnesses that were
// replaced.
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

// RecordReadFailed processes a failed read of a shard's record.
func (n *Node) RecordReadFailed(now time.Time, shard key.ShardID) {
	s := n.shardState(shard)
	s.reading = false
	n.scheduleRecordRead(now, s)
}

// ProposalCommitted processes the configuration that the record holds after a
// proposal. It differs from the proposed one if another writer came first.
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

// ProposalFailed processes a failed write of a proposal. The write may still
// take effect, so the record is read again.
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

// updateConfig adopts a configuration if it is newer than the known one, and
// reports whether it was. Older ones are ignored, which covers a store that
// returns an old value.
func (n *Node) updateConfig(now time.Time, s *shardState, config WitnessConfig) bool {
	s.configOutdated = max(s.highestToken.Epoch, n.witness.Promise(s.id).Highest.Epoch) > config.Epoch
	newer := config.Epoch > s.config.Epoch
	previousCleared := config.Epoch == s.config.Epoch && len(config.Previous) < len(s.config.Previous)
	if !newer && !previousCleared {
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

// wantsRecordRead reports whether to read the record at nextReadAt. The holder
// checks it periodically; a witness whose promise is in force does not need it.
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

// markConfigOutdated schedules an early read of the record. A witness that
// knows only an older epoch cannot become the holder.
func (n *Node) markConfigOutdated(now time.Time, s *shardState) {
	if s.configOutdated {
		return
	}
	s.configOutdated = true
	s.readBackoff = n.timing.RecordReadRetryMin
	s.nextReadAt = earlierTime(s.nextReadAt, latestTime(now, s.lastReadAt.Add(n.timing.RecordReadRetryMin)))
}

// scheduleRecordRead schedules the next read with exponential backoff and up to
// 25% jitter, so that processes do not read in lockstep.
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
