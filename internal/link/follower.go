package link

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Follower is the holder's end of one link.
type Follower struct {
	// Member is the instance at the other end.
	Member
	// Sent is used by the hub's goroutine only.
	Sent SentSequences
	// send passes a message on without waiting; it returns false when the
	// follower is too slow.
	send func(*linkpb.Down) bool
	disconnect     func()
	closed  atomic.Bool
}

// Send sends a message. A follower that is too slow is cut off.
func (f *Follower) Send(d *linkpb.Down) {
	if !f.send(d) {
		f.Disconnect()
	}
}

// Disconnect ends the link.
func (f *Follower) Disconnect() {
	if !f.closed.Swap(true) {
		f.disconnect()
	}
}
