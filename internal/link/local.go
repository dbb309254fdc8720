package link

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Local is the link of the holder's own instance.
type Local struct {
	handler      Handler
	follower *Follower
	queue    chan *linkpb.Down
	done     chan struct{}
	closed    atomic.Bool
}

// JoinLocal joins the hub within the process, or returns nil when it is not the holder.
func JoinLocal(handler Handler, member Member, onDown func(*linkpb.Down)) *Local {
	l := &Local{handler: handler, done: make(chan struct{}), queue: make(chan *linkpb.Down, outboxSize)}
	l.follower = &Follower{Member: member, send: l.enqueue, disconnect: l.closeDone}
	if !handler.Join(l.follower) {
		return nil
	}
	go l.receive(onDown)
	return l
}

// enqueue queues a message, since the hub's goroutine must not wait for the
// instance, which may be sending to the hub.
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
		select {
		case <-l.done:
			return
		case d := <-l.queue:
			onDown(d)
		}
	}
}

// Send passes the message to the hub.
func (l *Local) Send(up *linkpb.Up) bool {
	if l.closed.Load() {
		return false
	}
	l.handler.Receive(l.follower, up)
	return true
}

// Done closes when the link has ended.
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

// closeDone is called by the hub as well, which must not wait for itself.
func (l *Local) closeDone() {
	if !l.closed.Swap(true) {
		close(l.done)
	}
}
