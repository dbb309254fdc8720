package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// eventInterval is the minimum time between two no-majority events of one
// shard.
const eventInterval = 5 * time.Second

// sendClaims sends the latest claim to all members whose promise is needed. A
// promise for a higher token also extends the active claim, because it is made
// to the same holder.
func (n *Node) sendClaims(now time.Time, s *shardState) {
	latest := s.latestClaim()
	targets := latest.Targets(n.promisesExpiredAt(now))
	if s.activeClaim != nil && s.pendingClaim != nil {
		for _, m := range s.activeClaim.config.Witnesses {
			if !containsInstance(targets, m.Instance) {
				targets = append(targets, m)
			}
		}
	}
	for _, m := range targets {
		claim := ShardClaim{Shard: s.id, Token: latest.token, Mirrors: s.mirrorsFor(m.Instance)}
		if _, promised := latest.promises[m.Instance]; !promised {
			// Copied because another goroutine encodes the message, and the
			// claim's configuration changes when the previous witness sets are
			// removed from the record.
			config := latest.config
			claim.Config = &config
		}
		n.enqueueClaim(now, m, claim)
	}
}

// extendTenure publishes a later end of the tenure or a newly acknowledged
// mirror set.
func (n *Node) extendTenure(now time.Time, s *shardState) {
	if s.activeClaim == nil {
		return
	}
	tenure := *s.tenure
	if since, ok := s.activeClaim.Quorum(n.promisesExpiredAt(now)).PromisedSince(); ok {
		tenure.End = latestTime(tenure.End, n.timing.TenureEnd(since))
	}
	if s.proposedMirrors.Generation > tenure.Mirrors.Generation && s.activeClaim.MirrorsAcknowledged(s.proposedMirrors.Generation) {
		tenure.Mirrors = s.proposedMirrors
	}
	if tenure.End.After(s.tenure.End) || tenure.Mirrors.Generation > s.tenure.Mirrors.Generation {
		n.publishTenure(s, &tenure)
	}
}

// expireTenure ends a tenure that has expired.
func (n *Node) expireTenure(now time.Time, s *shardState) {
	if s.activeClaim == nil || s.tenure.End.After(now) {
		return
	}
	n.reportEvent(EventShardLost, s, s.activeClaim.token, Instance{})
	n.releaseClaims(now, s)
	n.endTenure(now, s)
	s.campaignRetryAt = now.Add(n.timing.RankDelay)
}

// releaseClaims releases all promises of a held shard. No grant may be in force any more.
func (n *Node) releaseClaims(now time.Time, s *shardState) {
	n.releasePromises(now, s, s.latestClaim())
	if s.pendingClaim != nil {
		n.releasePromises(now, s, s.activeClaim)
	}
}

// endTenure ends the tenure. Promises that have not been released expire.
func (n *Node) endTenure(now time.Time, s *shardState) {
	n.publishTenure(s, nil)
	s.activeClaim, s.pendingClaim = nil, nil
	n.heldShards--
	s.nextReadAt = now
	s.readBackoff = n.timing.RecordReadRetryMin
}

func (n *Node) publishTenure(s *shardState, tenure *Tenure) {
	s.tenure = tenure
	n.effects.TenureChanges = append(n.effects.TenureChanges, TenureChange{Shard: s.id, Tenure: tenure})
}

// raiseToken handles a witness that has accepted another candidate's token: the
// holder claims a higher one, so that the witness promises to it again.
func (n *Node) raiseToken(now time.Time, s *shardState, refusal ClaimReply) {
	latest := s.latestClaim().token
	if refusal.Holder.IsZero() || refusal.Highest.Less(latest) {
		return
	}
	if refusal.Highest.Epoch != s.config.Epoch {
		return
	}
	s.pendingClaim = n.newClaim(s)
	n.sendClaims(now, s)
}

// Release gives up a held shard immediately, for a hand-over. The caller has
// stopped sending orders under the tenure that began at since, and has revoked its
// grants. A later tenure of this process is left as it is. Release reports whether the
// tenure was in force.
func (n *Node) Release(now time.Time, shard key.ShardID, since time.Time) bool {
	s := n.shardState(shard)
	held := s.activeClaim != nil
	if held && !s.tenure.Since.Equal(since) {
		return false
	}
	if held {
		n.releaseClaims(now, s)
	}
	n.abandonShard(now, s)
	return held
}

// abandonShard ends the tenure of a held shard, or the campaign for it. The promises of
// a tenure expire, since its grants may be in force.
func (n *Node) abandonShard(now time.Time, s *shardState) {
	s.abstainUntil = now.Add(abstainAfterRelease)
	if s.activeClaim != nil {
		n.reportEvent(EventShardReleased, s, s.activeClaim.token, Instance{})
		n.endTenure(now, s)
		return
	}
	if s.pendingClaim != nil {
		n.abandonCampaign(now, s)
	}
}

// ExpectHandOver prepares this process to take over a shard as soon as its
// holder releases it. It returns false if this process may not become the
// holder.
func (n *Node) ExpectHandOver(now time.Time, shard key.ShardID) bool {
	s := n.shardState(shard)
	if n.leaving || s.configLearnedAt.IsZero() || s.config.Rank(n.self.Instance) < 0 {
		return false
	}
	s.handOverExpectedUntil = now.Add(handOverTimeout)
	return true
}

// NextHolder returns the highest-ranked other witness in service, which should
// take over the shard. ok is false if there is none.
func (n *Node) NextHolder(shard key.ShardID) (next Member, ok bool) {
	for _, m := range n.shardState(shard).config.Witnesses {
		if p, known := n.peer(m.Instance); known && p.Live && m.Instance != n.self.Instance {
			return m, true
		}
	}
	return Member{}, false
}

// adviseHandOver recommends handing the shard to its preferred holder once that
// instance has been in service for StableFor. The delay keeps an unstable
// instance from moving shards back and forth.
func (n *Node) adviseHandOver(now time.Time, s *shardState) {
	if n.leaving || len(s.config.Witnesses) == 0 || len(s.config.Previous) > 0 {
		return
	}
	preferred := s.config.Witnesses[0]
	since := latestTime(s.tenure.Since, s.lastAdviceAt).Add(n.timing.StableFor)
	if preferred.Instance == n.self.Instance || since.After(now) {
		return
	}
	p, known := n.peer(preferred.Instance)
	if !known || !p.hasBeenLiveFor(n.timing.StableFor, now) {
		return
	}
	s.lastAdviceAt = now
	n.effects.HandOvers = append(n.effects.HandOvers, HandOver{Shard: s.id, To: preferred})
}
