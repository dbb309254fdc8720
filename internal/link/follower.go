package link

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Follower is the holder's end of one link.
type Follower struct {
	// Member is the instance at the other end. Once it has joined, its fields Stopping and
	// Ending are used only by the handler's event loop.
	Member
	// Sent is used only by the handler's event loop.
	Sent SentSequences
	// Peers are the other instances that this one was told of. It is used only by the
	// handler's event loop.
	Peers []*Follower
	// JoinedAt is when the instance joined the holder, since when it has joined no other
	// one, and ProvedAt when the latest proof was sent that it has returned. They are used
	// only by the handler's event loop.
	JoinedAt, ProvedAt time.Time
	// clock translates to the clock of the instance. A nil clock tells no times.
	clock *Clock
	// send queues a message without blocking. It returns false if the queue is full.
	send       func(*linkpb.Down) bool
	disconnect func()
	closed     atomic.Bool
}

// EncodeTime returns a time by the clock of the instance, or 0 if it cannot be told.
func (f *Follower) EncodeTime(at time.Time) int64 {
	return f.clock.encode(at)
}

// DecodeTime returns the time that the instance has told, or the zero time if it told none.
func (f *Follower) DecodeTime(us int64) time.Time {
	return f.clock.decode(us)
}

// Send queues a message. It disconnects a follower whose queue is full.
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
