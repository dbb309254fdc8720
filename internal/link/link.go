package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Link is a follower's end of a link.
type Link interface {
	// Send queues a message without blocking. It returns false if the link has ended or
	// the queue is full.
	Send(up *linkpb.Up) bool
	// EncodeTime returns a time by the clock of the other end, at most as late as the true
	// one, or 0 if it cannot be told.
	EncodeTime(at time.Time) int64
	// Done returns a channel that is closed when the link has ended.
	Done() <-chan struct{}
	// Close ends the link.
	Close()
}
