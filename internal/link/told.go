package link

import "peridotmoor.org/peridotmoor/internal/facts"

// Told is what a follower has been told of the facts. Followers with equal values are sent
// the same message.
type Told struct {
	// Base is the snapshot of which the follower has been told, or nil.
	Base *facts.Snapshot
	// Sent holds the sequences of its parts.
	Sent SentSequences
}

// Without returns t with the listing and the owners as in base, for a follower that gets these
// in parts and is told of later ones afterwards.
func (t Told) Without(base Told) Told {
	t.Base, t.Sent.Listing, t.Sent.OwnedRanges = base.Base, base.Sent.Listing, base.Sent.OwnedRanges
	return t
}
