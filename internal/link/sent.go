package link

// Sent holds the sequences of the parts of a view that a follower has got.
type Sent struct {
	Orders, Listing, Owned uint64
}
