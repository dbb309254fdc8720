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
	// told is what the follower is told with the pending facts and all before, and toldBefore
	// without those. They are used only by the handler's event loop.
	told, toldBefore Told
	// transfer is set while the instance gets a listing in parts. It is used only by the
	// handler's event loop.
	transfer *transfer
	// pending holds the facts to send next, or nil.
	pending atomic.Pointer[pendingFacts]
	// wake has an element if the writer of the link may have to look at pending.
	wake chan struct{}
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
	// overflow holds what found the queue full, merged, or is nil. It is used only by the
	// handler's event loop.
	overflow *linkpb.Down
	// heardAt is when the last message of the instance arrived, in Unix nanoseconds.
	heardAt atomic.Int64
}

// EncodeTime returns a time by the clock of the instance, or 0 if it cannot be told.
func (f *Follower) EncodeTime(at time.Time) int64 {
	return f.clock.encode(at)
}

// DecodeTime returns the time that the instance has told, or the zero time if it told none.
func (f *Follower) DecodeTime(us int64) time.Time {
	return f.clock.decode(us)
}

// Told returns what the follower has been told, and takes back facts that have not been sent
// yet, so that a slow follower gets one later state in place of a queue of messages. It returns
// false while the first facts, which continue from what the instance knew, have not been sent.
func (f *Follower) Told() (told Told, ok bool) {
	p := f.pending.Load()
	if p != nil && f.toldBefore == (Told{}) {
		return Told{}, false
	}
	if p != nil && f.pending.CompareAndSwap(p, nil) {
		f.told = f.toldBefore
	}
	return f.told, true
}

// IsTold reports whether the last facts for the follower had the given sequences.
func (f *Follower) IsTold(sent SentSequences) bool {
	return f.told.Sent == sent
}

// Tell makes the link send facts that bring the follower from what Told has just returned to
// the given state. The store was read for them at the given time by the clock of the follower.
func (f *Follower) Tell(shared *SharedFacts, readUs int64, told Told) {
	f.toldBefore, f.told = f.told, told
	f.pending.Store(&pendingFacts{shared, readUs})
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// takeFacts returns the pending facts for sending, or nil, and adds the time of their reading
// to the message.
func (f *Follower) takeFacts(d *linkpb.Down) *SharedFacts {
	p := f.pending.Swap(nil)
	if p == nil {
		return nil
	}
	d.ReadUs = p.readUs
	return p.shared
}

// Send queues a message. While the queue is full, messages are merged and kept for the next
// call. The follower is disconnected only if nothing is heard from it either.
func (f *Follower) Send(d *linkpb.Down) {
	if f.overflow != nil {
		mergeDown(f.overflow, d)
		d = f.overflow
	}
	if f.send(d) {
		f.overflow = nil
		return
	}
	f.overflow = d
	if f.isSilent(time.Now()) || len(d.Verdicts)+len(d.Waiting) > maxOverflow {
		f.Disconnect()
	}
}

// Flush queues what has found the queue full before. It is to be called regularly, and
// disconnects a follower that takes no facts and from which nothing is heard.
func (f *Follower) Flush() {
	if f.overflow != nil {
		f.Send(&linkpb.Down{})
	}
	if f.pending.Load() != nil && f.isSilent(time.Now()) {
		f.Disconnect()
	}
}

// heard records that a message of the instance arrived.
func (f *Follower) heard(now time.Time) {
	f.heardAt.Store(now.UnixNano())
}

// isSilent reports whether the instance has sent nothing for several of its messages.
func (f *Follower) isSilent(now time.Time) bool {
	return now.Sub(time.Unix(0, f.heardAt.Load())) > maxFollowerSilence
}

// Disconnect ends the link.
func (f *Follower) Disconnect() {
	if !f.closed.Swap(true) {
		f.disconnect()
	}
}
