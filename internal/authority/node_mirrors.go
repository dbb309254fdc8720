package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// generationsPerEpoch leaves room for the mirror sets of one epoch. A new epoch
// starts above all generations of earlier ones, also of those that the new
// holder could not learn because their witnesses are gone.
const generationsPerEpoch = 1 << 32

// initialMirrors returns the mirror set that a new holder starts with: the
// latest that a majority of each set remembers. When a set was passed by proofs
// instead of answers its memory is lost, and the set has no members.
func (n *Node) initialMirrors(now time.Time, claim *Claim) MirrorSet {
	if claim.Quorum(n.promisesExpiredAt(now)).MajoritiesAnswered() {
		return claim.reportedMirrors
	}
	generation := max(claim.reportedMirrors.Generation, claim.token.Epoch*generationsPerEpoch)
	return MirrorSet{Generation: generation + 1}
}

// ProposeMirrors states a new mirror set for a held shard. It returns the
// generation that Tenure.Mirrors shows once a majority of the witnesses has
// acknowledged the set; ok is false when the shard is not held.
func (n *Node) ProposeMirrors(now time.Time, shard key.ShardID, members []Instance) (generation uint64, ok bool) {
	s := n.shardState(shard)
	n.expireTenure(now, s)
	if s.activeClaim == nil {
		return 0, false
	}
	generation = max(s.proposedMirrors.Generation, s.activeClaim.token.Epoch*generationsPerEpoch) + 1
	s.proposedMirrors = MirrorSet{Generation: generation, Members: members}
	n.sendClaims(now, s)
	return generation, true
}
