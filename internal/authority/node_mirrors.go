package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// initialMirrors returns the mirror set that a new holder starts with: the
// latest one known to a majority of each witness set. If a set was sealed by
// proofs of termination instead of answers, its knowledge is lost and the
// mirror set is empty.
func (n *Node) initialMirrors(now time.Time, claim *Claim) MirrorSet {
	if claim.Quorum(n.promisesExpiredAt(now)).MajoritiesAnswered() {
		return claim.reportedMirrors
	}
	return MirrorSet{Generation: max(claim.reportedMirrors.Generation, mirrorGenerationBase(claim.token)) + 1}
}

// ProposeMirrors proposes a new mirror set for a held shard. It returns the
// generation that Tenure.Mirrors reaches once a majority of the witnesses has
// acknowledged the set. ok is false if the shard is not held, or if the holder must
// raise its token first.
func (n *Node) ProposeMirrors(now time.Time, shard key.ShardID, members []Instance) (generation uint64, ok bool) {
	s := n.shardState(shard)
	n.expireTenure(now, s)
	if s.activeClaim == nil {
		return 0, false
	}
	generation, ok = nextMirrorGeneration(s.activeClaim.token, s.proposedMirrors.Generation)
	if !ok {
		if s.pendingClaim == nil {
			s.pendingClaim = n.newClaim(s)
			n.sendClaims(now, s)
		}
		return 0, false
	}
	s.proposedMirrors = MirrorSet{Generation: generation, Members: members}
	n.sendClaims(now, s)
	return generation, true
}
