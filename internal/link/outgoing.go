package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// outgoing is a message to a follower: one of its own, to which shared facts are added.
type outgoing struct {
	down   *linkpb.Down
	shared *SharedFacts // or nil
}
