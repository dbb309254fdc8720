package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// eventInterval bounds repeated notes about one shard.
const eventInterval = 5 * time.Second

// sendClaims asks all members that matter for the latest claim. A promise for a
// higher token also extends the active claim, since it is made to the same holder.
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
			// A copy: the message is encoded by another goroutine, and the claim's
			// configuration changes when its record is settled.
			config := latest.config
			claim.Config = &config
		}
		n.enqueueClaim(now, m, claim)
	}
}

// extendTenure publishes a later end of the tenure, or newly acknowledged mirrors.
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

// expireTenure ends a tenure whose time is over.
func (n *Node) expireTenure(now time.Time, s *shardState) {
	if s.activeClaim == nil || s.tenure.End.After(now) {
		return
	}
	n.reportEvent(EventShardLost, s, s.activeClaim.token, Instance{})
	n.loseShard(now, s)
	s.campaignRetryAt = now.Add(n.timing.RankDelay)
}

// loseShard stops holding the shard and gives all promises back.
func (n *Node) loseShard(now time.Time, s *shardState) {
	n.publishTenure(s, nil)
	n.releasePromises(now, s, s.latestClaim())
	if s.pendingClaim != nil {
		n.releasePromises(now, s, s.activeClaim)
	}
	s.activeClaim, s.pendingClaim = nil, nil
	n.heldShards--
	s.nextReadAt = now
	s.readBackoff = n.timing.RecordReadRetryMin
}

func (n *Node) publishTenure(s *shardState, tenure *Tenure) {
	s.tenure = tenure
	n.effects.TenureChanges = append(n.effects.TenureChanges, TenureChange{Shard: s.id, Tenure: tenure})
}

// raiseToken lets a holder whose witness accepted another candidate's token go
// on under a higher one, so that the witness promises to it again.
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

// Release gives a held shard back at once for a hand-over. The caller has
// stopped giving orders under the tenure. It reports whether the shard was held.
func (n *Node) Release(now time.Time, shard key.ShardID) bool {
	s := n.shardState(shard)
	held := s.activeClaim != nil
	n.releaseShard(now, s)
	return held
}

func (n *Node) releaseShard(now time.Time, s *shardState) {
	s.abstainUntil = now.Add(abstainAfterRelease)
	if s.activeClaim != nil {
		n.reportEvent(EventShardReleased, s, s.activeClaim.token, Instance{})
		n.loseShard(now, s)
		return
	}
	if s.pendingClaim != nil {
		n.abandonCampaign(now, s)
	}
}

// ExpectHandOver prepares this process to take a shard over as soon as its holder
// releases it. It reports false when this process may not become the holder.
func (n *Node) ExpectHandOver(now time.Time, shard key.ShardID) bool {
	s := n.shardState(shard)
	if n.leaving || s.configLearnedAt.IsZero() || s.config.Rank(n.self.Instance) < 0 {
		return false
	}
	s.handOverExpectedUntil = now.Add(handOverTimeout)
	return true
}

// NextHolder returns the witness that should take the shard over from this
// process; ok is false when none is in service.
func (n *Node) NextHolder(shard key.ShardID) (next Member, ok bool) {
	for _, m := range n.shardState(shard).config.Witnesses {
		if p, known := n.peer(m.Instance); known && p.Live && m.Instance != n.self.Instance {
			return m, true
		}
	}
	return Member{}, false
}

// adviseHandOver proposes to hand the shard to its preferred holder once that
// has been in service for a while. The pause keeps a flapping instance from
// pulling shards back and forth.
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
