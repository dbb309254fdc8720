package authority

import (
	"slices"
	"time"
)

const (
	// monitoringRanks is how many instances, in rendezvous order, read the
	// record of a shard even if they are not its witnesses. The two beyond the
	// number of witnesses detect and recover a shard whose witnesses have all
	// terminated.
	monitoringRanks = maxWitnesses + 2
	// recoveryRankDelay separates the instances that would write the same
	// recovery. It is longer than a write to the store takes.
	recoveryRankDelay = 100 * time.Millisecond
)

// updateRanks computes the rank of this process for each shard among the
// instances in service. Every process with the same list computes the same
// order. This takes 5 ms with 930 instances and shards, so it is skipped if the
// members have not changed.
func (n *Node) updateRanks() {
	n.markAllDirty()
	members := n.rankableMembers()
	if slices.Equal(members, n.rankedMembers) {
		return
	}
	n.rankedMembers = members
	ranking := newRankCalculator(n.self, members)
	for _, s := range n.shardList {
		s.rank = -1
		if s.inSettings {
			s.rank = ranking.rank(s.spec)
		}
		s.monitorsRecord = s.rank >= 0 && s.rank < monitoringRanks
	}
}

// rankableMembers returns the names and domains of the instances in service,
// including those whose incarnation is not known yet.
func (n *Node) rankableMembers() []Member {
	var members []Member
	add := func(m Member) {
		members = append(members, Member{Instance: Instance{Name: m.Instance.Name}, Domain: m.Domain})
	}
	if !n.leaving {
		add(n.self)
	}
	for _, p := range n.peers {
		i := p.Member.Instance
		if p.Live && i.Name != n.self.Instance.Name && !n.proofs.HasProof(i) {
			add(p.Member)
		}
	}
	return members
}

// recoverShard creates the record of a shard that has none, and starts a new
// epoch for a shard whose witnesses can no longer form a majority.
func (n *Node) recoverShard(now time.Time, s *shardState) {
	eligible := s.activeClaim == nil && s.inSettings && !n.leaving && s.rank >= 0
	if !eligible || !n.needsRecovery(now, s) {
		s.recoveryNeededSince = time.Time{}
		return
	}
	if s.recoveryNeededSince.IsZero() {
		s.recoveryNeededSince = now
	}
	n.probeUnresponsiveMembers(now, s)
	if due, ok := n.recoveryDueAt(now, s); !ok || due.After(now) {
		return
	}
	witnesses := NewWitnessSelector(s.spec, n.liveMembers()).Select(nil)
	if len(witnesses) > 0 {
		n.proposeConfig(now, s, s.config.Next(witnesses))
	}
}

// needsRecovery reports whether the shard has no record, or no majority of its
// witnesses is in service.
func (n *Node) needsRecovery(now time.Time, s *shardState) bool {
	if s.configLearnedAt.IsZero() {
		return s.recordMissing && s.monitorsRecord
	}
	if n.witness.Promise(s.id).InForce(now) {
		return false
	}
	unavailable := 0
	for _, m := range s.config.Witnesses {
		if !n.isInService(m.Instance) {
			unavailable++
		}
	}
	return len(s.config.Witnesses)-unavailable < Majority(len(s.config.Witnesses))
}

func (n *Node) isInService(i Instance) bool {
	if i == n.self.Instance {
		return true
	}
	p, known := n.peer(i)
	return known && p.Live && !n.proofs.HasProof(i)
}

// recoveryDueAt returns when this process may write the recovery. ok is false
// while the terminations needed for it are not proven.
func (n *Node) recoveryDueAt(now time.Time, s *shardState) (due time.Time, ok bool) {
	if s.recoveryNeededSince.IsZero() || s.committing {
		return time.Time{}, false
	}
	delay := time.Duration(s.rank) * recoveryRankDelay
	if s.configLearnedAt.IsZero() {
		return latestTime(s.recoveryNeededSince, n.startedAt.Add(n.timing.RecordCreationDelay)).Add(delay), true
	}
	expired := 0
	for _, m := range s.config.Witnesses {
		if n.proofs.PromisesExpired(now, m.Instance) {
			expired++
		}
	}
	if len(s.config.Witnesses)-expired >= Majority(len(s.config.Witnesses)) {
		return time.Time{}, false
	}
	return latestTime(s.recoveryNeededSince.Add(delay), s.lastProposalAt.Add(minProposalInterval)), true
}

// probeUnresponsiveMembers probes the addresses of members that do not answer and are
// not proven terminated.
func (n *Node) probeUnresponsiveMembers(now time.Time, s *shardState) {
	for _, m := range s.config.Members() {
		if n.proofs.HasProof(m.Instance) || m.Instance == n.self.Instance || n.hasAnswered(s, m.Instance) {
			continue
		}
		if n.lastProbeAt[m.Instance].Add(n.timing.ProbeInterval).After(now) {
			continue
		}
		n.lastProbeAt[m.Instance] = now
		n.effects.Probes = append(n.effects.Probes, m)
	}
}

// hasAnswered reports whether a member has answered the current campaign.
func (n *Node) hasAnswered(s *shardState, i Instance) bool {
	if s.pendingClaim == nil {
		return false
	}
	_, promised := s.pendingClaim.promises[i]
	_, refused := s.refusals[i]
	return promised || refused
}

// ProbeAnswered processes the result of a probe: the instance that answered at
// the address of probed.
func (n *Node) ProbeAnswered(now time.Time, probed Member, found Instance) {
	if found != probed.Instance {
		n.observeTermination(now, probed.Instance)
	}
}
