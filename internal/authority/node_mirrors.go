package authority

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// generationsPerEpoch is the range of mirror set generations reserved for each
// epoch. A new epoch starts above all generations of earlier ones, including
// those that the new holder cannot learn because their witnesses have
// terminated.
const generationsPerEpoch = 1 << 32

// initialMirrors returns the mirror set that a new holder starts with: the
// latest one known to a majority of each witness set. If a set was sealed by
// proofs of termination instead of answers, its knowledge is lost and the
// mirror set is empty.
func (n *Node) initialMirrors(now time.Time, claim *Claim) MirrorSet {
	if claim.Quorum(n.promisesExpiredAt(now)).MajoritiesAnswered() {
		return claim.reportedMirrors
	}
	generation := max(claim.reportedMirrors.Generation, claim.token.Epoch*generationsPerEpoch)
	return MirrorSet{Generation: generation + 1}
}

// ProposeMirrors proposes a new mirror set for a held shard. It returns the
// generation that Tenure.Mirrors reaches once a majority of the witnesses has
// acknowledged the set. ok is false if the shard is not held.
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
