package link

import (
	"math"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Local is the in-process link between the holder and its own instance.
type Local struct {
	handler  Handler
	follower *Follower
	queue    chan *linkpb.Down
	done     chan struct{}
	closed   atomic.Bool
}

// JoinLocal joins the handler in the same process. It returns nil if this instance is
// not the holder. One goroutine calls onDown with each message, in order. The clock must be
// new.
func JoinLocal(handler Handler, member Member, clock *Clock, onDown func(*linkpb.Down)) *Local {
	clock.share()
	l := &Local{handler: handler, done: make(chan struct{}), queue: make(chan *linkpb.Down, outboxSize)}
	l.follower = &Follower{Member: member, clock: clock, wake: make(chan struct{}, 1), send: l.enqueue, disconnect: l.closeDone}
	l.follower.heardAt.Store(math.MaxInt64) // sends nothing while it has no requests
	if !handler.Join(l.follower) {
		return nil
	}
	go l.receive(onDown)
	return l
}

// enqueue queues a message without blocking: the handler's event loop must not wait for
// the instance, which may itself be waiting to send to the handler.
func (l *Local) enqueue(d *linkpb.Down) bool {
	select {
	case l.queue <- d:
		return true
	default:
		return false
	}
}

func (l *Local) receive(onDown func(*linkpb.Down)) {
	for {
		var d *linkpb.Down
		select {
		case <-l.done:
			return
		case d = <-l.queue:
		case <-l.follower.wake:
		}
		own := d != nil
		if !own {
			d = &linkpb.Down{}
		}
		// Facts that were told before a message of the queue go with it at the latest.
		shared := l.follower.takeFacts(d)
		if shared != nil {
			d.Facts = append(d.Facts, shared.facts)
		}
		if own || shared != nil {
			onDown(d)
		}
	}
}

// Send passes the message to the handler. It returns false if the link has ended.
func (l *Local) Send(up *linkpb.Up) bool {
	if l.closed.Load() {
		return false
	}
	l.handler.Receive(l.follower, up)
	return true
}

// EncodeTime returns a time by the clock of the link, which both ends share.
func (l *Local) EncodeTime(at time.Time) int64 {
	return l.follower.clock.encode(at)
}

// Done returns a channel that is closed when the link has ended.
func (l *Local) Done() <-chan struct{} {
	return l.done
}

// Close ends the link.
func (l *Local) Close() {
	if !l.closed.Load() {
		l.closeDone()
		l.handler.Leave(l.follower)
	}
}

// closeDone marks the link as ended. The handler's event loop calls it too, so it must
// not call the handler, which would wait for that loop.
func (l *Local) closeDone() {
	if !l.closed.Swap(true) {
		close(l.done)
	}
}
