package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// Link is a follower's end of a link.
type Link interface {
	// Send queues a message without waiting; false means that the link has ended.
	Send(up *linkpb.Up) bool
	// Done closes when the link has ended.
	Done() <-chan struct{}
	// Close ends the link.
	Close()
}
