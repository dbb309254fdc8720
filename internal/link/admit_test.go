package link

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/connbound"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against silent connections that end the links of instances that have joined.
func TestStrangersDoNotEndJoinedLinks(t *testing.T) {
	const bound, strangers = 2, 6
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &recordingHandler{joined: make(chan Member, 1), messages: make(chan *linkpb.Up, 1)}
	listener, err := Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	closed := make(chan struct{}, strangers)
	served := make(chan error, 1)
	go func() {
		served <- NewServer(handler).Serve(ctx, connbound.Bound(listener, bound, func() { closed <- struct{}{} }))
	}()
	c, err := Dial(ctx, listener.Addr().String(), Member{Instance: "a"}, NewClock(), func(*linkpb.Down) {})
	is.NoErr(err)
	<-handler.joined
	c.Send(&linkpb.Up{Stopping: true})
	is.True((<-handler.messages).Stopping) // the link is admitted before its messages are received
	for range strangers {
		stranger, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		defer stranger.Close()
	}
	for range strangers - bound {
		<-closed
	}
	c.Send(&linkpb.Up{Ending: true})
	select {
	case up := <-handler.messages:
		is.True(up.Ending)
	case <-c.Done():
		t.Error("the link of a joined instance has ended")
	}
	c.Close()
	cancel()
	is.NoErr(<-served)
}
