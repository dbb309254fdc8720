package link

// SentSequences holds the sequences of the parts of a view that a follower has got.
type SentSequences struct {
	Orders, Listing, Owned uint64
}
