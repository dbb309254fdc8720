package authority

import (
	"slices"
	"time"
)

const (
	// interestedRanks is how many instances of the rendezvous order read the
	// record of a shard without being its witnesses. Two more than there are
	// witnesses find and recover a shard whose witnesses are all gone.
	interestedRanks = maxWitnesses + 2
	// writeRankDelay separates the instances that would write the same change,
	// by more than a write to the store takes.
	writeRankDelay = 100 * time.Millisecond
)

// rank computes for each shard where this process stands among the instances in
// service. The order is the same on every process with the same list. It takes
// 5 ms with 930 instances and shards, so it is skipped when no name has changed.
func (n *Node) rank() {
	n.markAllDirty()
	members := n.rankedMembers()
	if slices.Equal(members, n.rankedBy) {
		return
	}
	n.rankedBy = members
	ranking := newRankCalculator(n.self, members)
	for _, s := range n.shardList {
		s.rank = -1
		if s.inSettings {
			s.rank = ranking.rank(s.spec)
		}
		s.monitorsRecord = s.rank >= 0 && s.rank < interestedRanks
	}
}

// rankedMembers returns names and domains of the instances in service, also of
// those whose incarnation is not known yet.
func (n *Node) rankedMembers() []Member {
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

// recover writes the record of a shard that has none, and a new epoch for a
// shard whose witnesses cannot form a majority any more.
func (n *Node) recover(now time.Time, s *shardState) {
	eligible := s.activeClaim == nil && s.inSettings && !n.leaving && s.rank >= 0
	if !eligible || !n.orphaned(now, s) {
		s.recoveryNeededSince = time.Time{}
		return
	}
	if s.recoveryNeededSince.IsZero() {
		s.recoveryNeededSince = now
	}
	n.probeSilent(now, s)
	if due, ok := n.recoveryDue(now, s); !ok || due.After(now) {
		return
	}
	witnesses := NewWitnessSelector(s.spec, n.liveMembers()).Select(nil)
	if len(witnesses) > 0 {
		n.propose(now, s, s.config.Next(witnesses))
	}
}

// orphaned reports whether the shard has no record, or no majority of its
// witnesses is in service.
func (n *Node) orphaned(now time.Time, s *shardState) bool {
	if s.configLearnedAt.IsZero() {
		return s.recordMissing && s.monitorsRecord
	}
	if n.witness.Promise(s.id).InForce(now) {
		return false
	}
	out := 0
	for _, m := range s.config.Witnesses {
		if !n.inService(m.Instance) {
			out++
		}
	}
	return len(s.config.Witnesses)-out < Majority(len(s.config.Witnesses))
}

func (n *Node) inService(i Instance) bool {
	if i == n.self.Instance {
		return true
	}
	p, known := n.peer(i)
	return known && p.Live && !n.proofs.HasProof(i)
}

// recoveryDue returns when this process writes the change; ok is false while
// there is no proof that allows it.
func (n *Node) recoveryDue(now time.Time, s *shardState) (due time.Time, ok bool) {
	if s.recoveryNeededSince.IsZero() || s.committing {
		return time.Time{}, false
	}
	delay := time.Duration(s.rank) * writeRankDelay
	if s.configLearnedAt.IsZero() {
		return latestOf(s.recoveryNeededSince, n.startedAt.Add(n.timing.RecordCreationDelay)).Add(delay), true
	}
	gone := 0
	for _, m := range s.config.Witnesses {
		if n.proofs.PromisesExpired(now, m.Instance) {
			gone++
		}
	}
	if len(s.config.Witnesses)-gone >= Majority(len(s.config.Witnesses)) {
		return time.Time{}, false
	}
	return latestOf(s.recoveryNeededSince.Add(delay), s.lastProposalAt.Add(changeInterval)), true
}

// probeSilent asks for the incarnation at the addresses of members that do not
// answer and are not proven gone.
func (n *Node) probeSilent(now time.Time, s *shardState) {
	for _, m := range s.config.Members() {
		if n.proofs.HasProof(m.Instance) || m.Instance == n.self.Instance || n.answered(s, m.Instance) {
			continue
		}
		if n.lastProbeAt[m.Instance].Add(n.timing.ProbeInterval).After(now) {
			continue
		}
		n.lastProbeAt[m.Instance] = now
		n.effects.Probes = append(n.effects.Probes, m)
	}
}

// answered reports whether a member has answered the candidacy in progress.
func (n *Node) answered(s *shardState, i Instance) bool {
	if s.pendingClaim == nil {
		return false
	}
	_, promised := s.pendingClaim.promises[i]
	_, refused := s.refusals[i]
	return promised || refused
}

// ProbeAnswered takes the answer to a probe: the instance found at the address of
// asked, or that the connection was refused.
func (n *Node) ProbeAnswered(now time.Time, asked Member, found Instance, refused bool) {
	if refused || found != asked.Instance {
		n.observeTermination(now, asked.Instance)
	}
}
