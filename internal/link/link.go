package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// Link is a follower's end of a link.
type Link interface {
	// Send queues a message without blocking. It returns false if the link has ended or
	// the queue is full.
	Send(up *linkpb.Up) bool
	// Done returns a channel that is closed when the link has ended.
	Done() <-chan struct{}
	// Close ends the link.
	Close()
}
