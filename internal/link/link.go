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
	// ReadTime encodes when the store was read, for a message with facts. It returns 0 if
	// the other end cannot be told.
	ReadTime(at time.Time) int64
	// Done returns a channel that is closed when the link has ended.
	Done() <-chan struct{}
	// Close ends the link.
	Close()
}
