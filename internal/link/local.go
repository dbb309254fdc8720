package link

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Local is the link of the holder's own instance.
type Local struct {
	hub      Hub
	follower *Follower
	done     chan struct{}
	ended    atomic.Bool
}

// JoinLocal joins the hub within the process, or returns nil when it is not the holder.
func JoinLocal(hub Hub, instance, domain string, onDown func(*linkpb.Down)) *Local {
	l := &Local{hub: hub, done: make(chan struct{})}
	l.follower = NewLocalFollower(instance, domain, onDown)
	l.follower.cut = l.Close
	if !hub.Join(l.follower) {
		return nil
	}
	return l
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
	if !l.ended.Swap(true) {
		close(l.done)
		l.hub.Leave(l.follower)
	}
}
