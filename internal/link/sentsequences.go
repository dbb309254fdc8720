package link

// SentSequences holds, for each part of a snapshot, the sequence that was last sent to
// a follower.
type SentSequences struct {
	OperatorSettings, Listing, OwnedRanges, Backpressure uint64
}
