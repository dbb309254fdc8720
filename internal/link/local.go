package link

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Local is the link of the holder's own instance.
type Local struct {
	hub      Handler
	follower *Follower
	inbox    chan *linkpb.Down
	done     chan struct{}
	ended    atomic.Bool
}

// JoinLocal joins the hub within the process, or returns nil when it is not the holder.
func JoinLocal(hub Handler, member Member, onDown func(*linkpb.Down)) *Local {
	l := &Local{hub: hub, done: make(chan struct{}), inbox: make(chan *linkpb.Down, outboxMessages)}
	l.follower = &Follower{Member: member, deliver: l.take, cut: l.end}
	if !hub.Join(l.follower) {
		return nil
	}
	go l.receive(onDown)
	return l
}

// take queues a message, since the hub's goroutine must not wait for the
// instance, which may be sending to the hub.
func (l *Local) take(d *linkpb.Down) bool {
	select {
	case l.inbox <- d:
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
		case d := <-l.inbox:
			onDown(d)
		}
	}
}

// Send passes the message to the hub.
func (l *Local) Send(up *linkpb.Up) bool {
	if l.ended.Load() {
		return false
	}
	l.hub.Receive(l.follower, up)
	return true
}

// Done closes when the link has ended.
func (l *Local) Done() <-chan struct{} {
	return l.done
}

// Close ends the link.
func (l *Local) Close() {
	if !l.ended.Load() {
		l.end()
		l.hub.Leave(l.follower)
	}
}

// end is called by the hub as well, which must not wait for itself.
func (l *Local) end() {
	if !l.ended.Swap(true) {
		close(l.done)
	}
}
