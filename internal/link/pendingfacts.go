package link

// pendingFacts are facts that the writer of a link has not taken yet.
type pendingFacts struct {
	shared *SharedFacts
	// readUs is when the store was read, by the clock of the follower.
	readUs int64
}
