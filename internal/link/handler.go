package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// Handler is the holder's side of all links. Its methods may be called concurrently.
type Handler interface {
	// Join adds a follower. It returns false if this instance is not the holder.
	Join(f *Follower) bool
	// Receive handles a message from a follower.
	Receive(f *Follower, up *linkpb.Up)
	// Leave removes a follower whose link has ended.
	Leave(f *Follower)
}
