package link

import (
	"testing"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// narrowHub has one place for messages and delivers from the goroutine that takes them.
type narrowHub struct {
	messages chan *linkpb.Up
	follower *Follower
}

func (h *narrowHub) Join(f *Follower) bool              { h.follower = f; return true }
func (h *narrowHub) Receive(_ *Follower, up *linkpb.Up) { h.messages <- up }
func (h *narrowHub) Leave(*Follower)                    {}

// Guards against a holder that waits for itself: its own instance answers a
// message while the holder's queue is full.
func TestLocalLinkDoesNotBlockTheHub(t *testing.T) {
	hub := &narrowHub{messages: make(chan *linkpb.Up, 1)}
	answered := make(chan struct{})
	var l *Local
	ready := make(chan struct{})
	l = JoinLocal(hub, Member{Instance: "i", Domain: "d"}, func(*linkpb.Down) {
		<-ready
		l.Send(&linkpb.Up{})
		close(answered)
	})
	close(ready)
	hub.messages <- &linkpb.Up{} // the queue is full
	hub.follower.Send(&linkpb.Down{})
	<-hub.messages
	<-answered
	l.Close()
}
