package entrynode

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/callerhttp"
)

// channelListener accepts the connections that are sent to it.
type channelListener struct {
	net.Listener
	conns chan net.Conn
}

func (l channelListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l channelListener) Close() error {
	close(l.conns)
	return nil
}

// endlessHandler answers each request with a response whose body never ends.
type endlessHandler struct{ unwritten chan error }

func (endlessHandler) Traits(*http.Request) callerhttp.Traits { return callerhttp.Traits{} }

func (h endlessHandler) Handle(context.Context, *http.Request, time.Time) *callerhttp.Response {
	remainder, _ := io.Pipe()
	return &callerhttp.Response{Status: http.StatusOK, Remainder: remainder, Length: -1, OnWriteError: func(err error) { h.unwritten <- err }}
}

// Guards against a response that the end of the process cuts off while it is streamed,
// after its call has been handled, and that leaves no line in the log.
func TestPlannedStopReportsAStreamedResponseThatItCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &bytes.Buffer{}
		n := New(Config{Name: "a", Domain: "d", StoreAddress: "127.0.0.1:1", GracePeriod: 6 * time.Second}, out)
		h := endlessHandler{unwritten: make(chan error, 1)}
		n.callerServer = callerhttp.NewServer(h, n.callerLimits)
		caller, accepted := net.Pipe()
		defer caller.Close()
		go func() {
			_, _ = io.WriteString(caller, "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n")
			_, _ = io.Copy(io.Discard, caller)
		}()
		listener := channelListener{conns: make(chan net.Conn, 1)}
		listener.conns <- accepted
		s := serveCallers(n, listener)
		synctest.Wait() // until the response is being streamed
		n.stop(s)
		select {
		case <-h.unwritten:
		default:
			t.Error("the response was cut off without a report")
		}
		n.log.Close()
		is.True(bytes.Contains(out.Bytes(), []byte(`"name":"stop_cut_off"`)))
	})
}
