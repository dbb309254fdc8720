package authority

import (
	"slices"
	"time"
)

const (
	// maintainInterval is the time between checks of the witness set of a held
	// shard.
	maintainInterval = 250 * time.Millisecond
	// minProposalInterval limits the writes to one shard record to fewer than 2
	// per second.
	minProposalInterval = 2 * time.Second
	// recentAnswerIntervals is how many renewal intervals an answer of a
	// witness counts as recent. A recent answer takes precedence over the list
	// of instances.
	recentAnswerIntervals = 4
)

// maintainWitnesses replaces witnesses that are out of service, and returns to
// the preferred set once its members have been stable.
func (n *Node) maintainWitnesses(now time.Time, s *shardState) {
	if s.nextMaintenanceAt.After(now) {
		return
	}
	s.nextMaintenanceAt = now.Add(maintainInterval)
	n.clearPreviousWitnesses(now, s)
	if !n.mayChangeWitnesses(now, s) {
		return
	}
	keep := slices.DeleteFunc(slices.Clone(s.config.Witnesses), func(m Member) bool {
		return n.needsReplacement(now, s, m.Instance)
	})
	if len(keep) < len(s.config.Witnesses) {
		n.proposeWitnessChange(now, s, n.selector(now, s).Select(keep))
		return
	}
	if s.nextRebalanceAt.After(now) {
		return
	}
	s.nextRebalanceAt = now.Add(n.timing.StableFor / 2)
	preferred := n.selector(now, s).Select(nil)
	if n.isStable(now, s, preferred) {
		n.proposeWitnessChange(now, s, preferred)
	}
}

func (n *Node) selector(now time.Time, s *shardState) WitnessSelector {
	return NewWitnessSelector(s.spec, n.eligibleMembers(now, s))
}

func (n *Node) proposeWitnessChange(now time.Time, s *shardState, witnesses []Member) {
	if len(witnesses) > 0 && !slices.Equal(witnesses, s.config.Witnesses) {
		n.proposeConfig(now, s, s.config.Next(witnesses))
	}
}

func (n *Node) mayChangeWitnesses(now time.Time, s *shardState) bool {
	changeCompleted := s.pendingClaim == nil && len(s.config.Previous) == 0 && s.config.Epoch == s.activeClaim.config.Epoch
	return changeCompleted && !n.leaving && s.inSettings && !s.committing && !s.lastProposalAt.Add(minProposalInterval).After(now)
}

// clearPreviousWitnesses removes the previous witness sets from the record once
// the new set has promised and knows the mirror set, and the previous sets are
// sealed or terminated.
func (n *Node) clearPreviousWitnesses(now time.Time, s *shardState) {
	if s.activeClaim == nil || s.pendingClaim != nil || s.committing || len(s.activeClaim.config.Previous) == 0 {
		return
	}
	if s.config.Epoch != s.activeClaim.config.Epoch || s.nextClearanceAt.After(now) {
		return
	}
	if !s.activeClaim.MirrorsAcknowledged(s.proposedMirrors.Generation) {
		return
	}
	s.nextClearanceAt = now.Add(n.timing.ReplaceAfter)
	n.proposeConfig(now, s, s.config.WithoutPrevious())
}

func (n *Node) proposeConfig(now time.Time, s *shardState, next WitnessConfig) {
	s.committing = true
	s.lastProposalAt = now
	n.effects.Proposals = append(n.effects.Proposals, Proposal{Shard: s.id, Base: s.config, Next: next})
}

// eligibleMembers returns the instances that may be witnesses: those in
// service, and current witnesses that still answer whatever the list says.
func (n *Node) eligibleMembers(now time.Time, s *shardState) []Member {
	members := n.liveMembers()
	for _, m := range s.config.Witnesses {
		if !containsInstance(members, m.Instance) && !n.needsReplacement(now, s, m.Instance) {
			members = append(members, m)
		}
	}
	return members
}

// liveMembers returns the instances in service with a known incarnation,
// including this one unless it is leaving.
func (n *Node) liveMembers() []Member {
	var members []Member
	if !n.leaving {
		members = append(members, n.self)
	}
	for _, p := range n.peers {
		i := p.Member.Instance
		eligible := p.Live && i.Incarnation != "" && i.Name != n.self.Instance.Name
		if eligible && !n.proofs.HasProof(i) {
			members = append(members, p.Member)
		}
	}
	return members
}

// needsReplacement reports whether a witness of a held shard must be replaced.
func (n *Node) needsReplacement(now time.Time, s *shardState, i Instance) bool {
	if i == n.self.Instance {
		return n.leaving
	}
	if n.proofs.HasProof(i) {
		return true
	}
	p, known := n.peer(i)
	if known && p.Leaving {
		return true
	}
	lastPromiseSentAt := s.activeClaim.promises[i].sentAt
	if lastPromiseSentAt.Add(recentAnswerIntervals * n.timing.RenewInterval).After(now) {
		return false
	}
	if known && p.Live {
		return false
	}
	return !latestTime(lastPromiseSentAt, s.tenure.Since, p.LiveChangedAt).Add(n.timing.ReplaceAfter).After(now)
}

// isStable reports whether the holder, and every witness that the set would
// add, have been in service for StableFor.
func (n *Node) isStable(now time.Time, s *shardState, witnesses []Member) bool {
	if latestTime(s.tenure.Since, s.lastProposalAt).Add(n.timing.StableFor).After(now) {
		return false
	}
	for _, m := range witnesses {
		p, known := n.peer(m.Instance)
		isCurrent := m.Instance == n.self.Instance || s.config.Rank(m.Instance) >= 0
		if !isCurrent && (!known || !p.hasBeenLiveFor(n.timing.StableFor, now)) {
			return false
		}
	}
	return true
}

func (n *Node) peer(i Instance) (Peer, bool) {
	at, known := n.peerIndex[i]
	if !known {
		return Peer{}, false
	}
	return n.peers[at], true
}
