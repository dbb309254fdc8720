package authority

const (
	// mirrorSetBits and ballotBits divide a mirror set generation into epoch, ballot and
	// number of the set: 65,536 sets for a token, and 268 million ballots for an epoch,
	// which candidates that find no majority use up in 300 days at 10 a second.
	mirrorSetBits = 16
	ballotBits    = 28
	maxBallot     = 1<<ballotBits - 1
	maxEpoch      = 1<<(64-ballotBits-mirrorSetBits) - 1
)

// mirrorGenerationBase returns the generation above which the holder with the given token
// numbers its mirror sets. It is above those of all lower tokens: a holder does not know the
// sets that an earlier one proposed to a minority of the witnesses, and a second set of the
// same generation would pass for the one that a witness already has.
func mirrorGenerationBase(t Token) uint64 {
	return min(t.Epoch, maxEpoch)<<(ballotBits+mirrorSetBits) | min(t.Ballot, maxBallot)<<mirrorSetBits
}

// nextMirrorGeneration returns the generation of the holder's next mirror set after the given
// one. ok is false if the token has none left.
func nextMirrorGeneration(t Token, last uint64) (next uint64, ok bool) {
	base := mirrorGenerationBase(t)
	next = max(base, last) + 1
	return next, next-base < 1<<mirrorSetBits
}
