package link

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a server that reports a closed listener as a failure when it is stopped: the
// listener is closed at the same time as the context of the links.
func TestStopOfServerIsNoFailure(t *testing.T) {
	is := is.New(t)
	for range 500 {
		ctx, cancel := context.WithCancel(t.Context())
		listener, err := Listen(ctx, "127.0.0.1:0")
		is.NoErr(err)
		ended := make(chan error)
		go func() { ended <- NewServer(nil).Serve(ctx, listener) }()
		conn, err := net.Dial("tcp4", listener.Addr().String()) // accepted once the server runs
		is.NoErr(err)
		conn.Close()
		cancel()
		is.NoErr(<-ended)
	}
}
