package entrynode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// closingListener accepts one connection at the moment at which it is closed.
type closingListener struct {
	net.Listener
	last   net.Conn
	closed chan struct{}
}

func (l *closingListener) Accept() (net.Conn, error) {
	<-l.closed
	if raw := l.last; raw != nil {
		l.last = nil
		return raw, nil
	}
	return nil, net.ErrClosed
}

func (l *closingListener) Close() error {
	close(l.closed)
	return nil
}

func newStoppingNode(grace time.Duration) *Node {
	return New(Config{Name: "a", Domain: "d", StoreAddress: "127.0.0.1:1", GracePeriod: grace}, io.Discard)
}

// serveCallers starts what the planned stop of n ends.
func serveCallers(n *Node, listener net.Listener) services {
	s := services{callers: listener, callersDone: make(chan struct{}), stopElector: func() {}, electorDone: make(chan struct{})}
	close(s.electorDone)
	go func() {
		defer close(s.callersDone)
		_ = n.callerServer.Serve(listener) // returns nil when the listener is closed
	}()
	return s
}

// Guards against the end of the process while a request is in progress on a connection
// that was accepted after the connections were counted for the last time.
func TestPlannedStopWaitsForAConnectionAcceptedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStoppingNode(6 * time.Second)
		defer n.log.Close()
		caller, accepted := net.Pipe()
		defer caller.Close()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_, err := io.WriteString(caller, "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable) // there is no configuration
		}()
		n.stop(serveCallers(n, &closingListener{last: accepted, closed: make(chan struct{})}))
		is.Equal(n.callerServer.OpenConnections(), 0)
		select {
		case <-answered:
		default:
			t.Error("the stop ended before the request was answered")
		}
	})
}

// Guards against a planned stop that takes longer than a short grace period, so that the
// process is killed.
func TestPlannedStopEndsWithinAShortGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const grace = 2 * time.Second
		n := newStoppingNode(grace)
		defer n.log.Close()
		began := time.Now()
		n.stop(serveCallers(n, &closingListener{closed: make(chan struct{})}))
		is.True(time.Since(began) < grace)
	})
}
