package link

import (
	"testing"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// singleSlotHandler has a queue of one message, and the goroutine that receives from the
// queue also sends to the follower.
type singleSlotHandler struct {
	messages chan *linkpb.Up
	follower *Follower
}

func (h *singleSlotHandler) Join(f *Follower) bool              { h.follower = f; return true }
func (h *singleSlotHandler) Receive(_ *Follower, up *linkpb.Up) { h.messages <- up }
func (h *singleSlotHandler) Leave(*Follower)                    {}

// Guards against a deadlock in the holder: its own instance responds to a message while
// the holder's queue is full.
func TestLocalLinkDoesNotBlockTheHandler(t *testing.T) {
	handler := &singleSlotHandler{messages: make(chan *linkpb.Up, 1)}
	answered := make(chan struct{})
	var l *Local
	ready := make(chan struct{})
	l = JoinLocal(handler, Member{Instance: "i", Domain: "d"}, NewClock(), func(*linkpb.Down) {
		<-ready
		l.Send(&linkpb.Up{})
		close(answered)
	})
	close(ready)
	handler.messages <- &linkpb.Up{} // the queue is full
	handler.follower.Send(&linkpb.Down{})
	<-handler.messages
	<-answered
	l.Close()
}
