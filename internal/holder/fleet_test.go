package holder

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// newFollower returns an instance that joins a holder.
func newFollower(n int) *link.Follower {
	return &link.Follower{Member: link.Member{Instance: fmt.Sprintf("entry-%02d/K55N5AKH", n)}}
}

// newFleet returns the fleet of the first n instances that newFollower returns.
func newFleet(n int) quorum.Fleet {
	names := map[string]bool{}
	for i := range n {
		names[newFollower(i).Name()] = true
	}
	return quorum.NewFleet(names)
}
