package link

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// recordingHandler passes on what the followers say of themselves.
type recordingHandler struct {
	joined   chan Member
	messages chan *linkpb.Up
}

func (h *recordingHandler) Join(f *Follower) bool              { h.joined <- f.Member; return true }
func (h *recordingHandler) Receive(_ *Follower, up *linkpb.Up) { h.messages <- up }
func (h *recordingHandler) Leave(*Follower)                    {}
func (h *recordingHandler) Holder() []byte                     { return nil }

// Guards against a holder that waits for, or yields to, an instance that stops.
func TestHolderLearnsThatAFollowerStops(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &recordingHandler{joined: make(chan Member, 1), messages: make(chan *linkpb.Up, 1)}
	listener, err := Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- NewServer(handler).Serve(ctx, listener) }()

	for _, member := range []Member{{Instance: "running", ProcessorShare: 0.8}, {Instance: "stopping", Stopping: true}, {Instance: "ending", Stopping: true, Ending: true}} {
		c, err := Dial(ctx, listener.Addr().String(), member, NewClock(), func(*linkpb.Down) {})
		is.NoErr(err)
		is.Equal(<-handler.joined, member)
		c.Send(&linkpb.Up{Stopping: true})
		is.True((<-handler.messages).Stopping)
		c.Send(&linkpb.Up{Ending: true})
		is.True((<-handler.messages).Ending)
		c.Close()
	}
	cancel()
	is.NoErr(<-served)
}

// Guards against the same when the message is merged with others.
func TestMergedMessageTellsThatTheInstanceStops(t *testing.T) {
	is := is.New(t)
	c := &Client{outbox: make(chan *linkpb.Up, 3)}
	c.outbox <- &linkpb.Up{Stopping: true}
	c.outbox <- &linkpb.Up{Ending: true}
	c.outbox <- &linkpb.Up{Withdrawn: []uint64{2}}
	merged := c.merge(&linkpb.Up{Withdrawn: []uint64{1}})
	is.True(merged.Stopping && merged.Ending)
	is.Equal(merged.Withdrawn, []uint64{1, 2})
}
