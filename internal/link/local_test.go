package link

import (
	"testing"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// singleSlotHandler has one place for messages and delivers from the goroutine that takes them.
type singleSlotHandler struct {
	messages chan *linkpb.Up
	follower *Follower
}

func (h *singleSlotHandler) Join(f *Follower) bool              { h.follower = f; return true }
func (h *singleSlotHandler) Receive(_ *Follower, up *linkpb.Up) { h.messages <- up }
func (h *singleSlotHandler) Leave(*Follower)                    {}

// Guards against a holder that waits for itself: its own instance answers a
// message while the holder's queue is full.
func TestLocalLinkDoesNotBlockTheHub(t *testing.T) {
	hub := &singleSlotHandler{messages: make(chan *linkpb.Up, 1)}
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
