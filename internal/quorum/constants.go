package quorum

import "time"

const (
	// retainedShare is the share of the fleet that a holder needs in order to go on without
	// its lease, and joinedShare the share that has to join a successor before it may rely
	// on that holder having ended. They add up to more than 1, and each instance counts for
	// one of the two, so that only one of them can have its share.
	retainedShare = 0.6
	joinedShare   = 0.45
	// ProofValidity is how long an instance counts for the holder that it follows after
	// the last message that it has provably answered: several round trips.
	ProofValidity = 1500 * time.Millisecond
)
