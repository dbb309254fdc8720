package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// Handler is the holder's side of all links. Its methods may be called from many goroutines.
type Handler interface {
	// Join admits a follower. It returns false when this instance is not the holder.
	Join(f *Follower) bool
	// Receive takes a message of a follower.
	Receive(f *Follower, up *linkpb.Up)
	// Leave tells that the follower's link has ended.
	Leave(f *Follower)
}
