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
