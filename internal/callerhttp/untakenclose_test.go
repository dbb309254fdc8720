package callerhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// untakenBytes is the length of a response that the kernels of both ends hold together, if the
// server's end has largeWriteBuffer.
const (
	untakenBytes     = 512 << 10
	largeWriteBuffer = 2 << 20
)

// noticeHook reports when its end of a connection is closed, or its sending side.
type noticeHook struct {
	*net.TCPConn
	closing chan struct{}
}

func (h noticeHook) CloseWrite() error {
	h.notify()
	return h.TCPConn.CloseWrite()
}

func (h noticeHook) Close() error {
	h.notify()
	return h.TCPConn.Close()
}

func (h noticeHook) notify() {
	select {
	case h.closing <- struct{}{}:
	default:
	}
}

// Guards against a close that destroys responses which the caller has not read yet, because
// the bytes that it sends meanwhile make the kernel reset the connection (review/8). Each case
// is another way in which a connection ends.
func TestCloseLeavesResponsesToASlowCaller(t *testing.T) {
	for name, c := range map[string]struct {
		requests string
		drain    bool
		end      string // how the last response ends
	}{
		"planned stop":         {getOne + getTwo, true, "\r\n\r\nlast"},
		"Connection: close":    {getOne + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false, "\r\n\r\nlast"},
		"HTTP/1.0":             {getOne + "GET /2 HTTP/1.0\r\n\r\n", false, "\r\n\r\nlast"},
		"head over the limit":  {getOne + "GET /2 HTTP/1.1\r\nA: " + strings.Repeat("a", 8<<10) + "\r\n\r\n", false, "Connection: close\r\n\r\n"},
		"malformed request":    {getOne + "nonsense\r\n\r\n", false, "Connection: close\r\n\r\n"},
		"body over the limit":  {getOne + fmt.Sprintf("POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 2*bodyDrainBytes), false, "Connection: close\r\n\r\n"},
		"incomplete response":  {getOne + "GET /broken HTTP/1.1\r\nHost: h\r\n\r\n", false, "\r\n\r\nabc"},
		"response that is cut": {getOne + "GET /cut HTTP/1.1\r\nHost: h\r\n\r\n", false, "\r\n\r\n" + string(bytes.Repeat([]byte("b"), untakenBytes))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(stubHandler{handle: func(_ context.Context, r *http.Request) *Response {
				switch r.URL.Path {
				case "/1":
					return &Response{Status: 200, Body: bytes.Repeat([]byte("a"), untakenBytes)}
				case "/refuse":
					return &Response{Status: 413}
				case "/broken":
					return brokenResponse()
				case "/cut":
					return &Response{Status: 200, Body: bytes.Repeat([]byte("b"), untakenBytes), Length: untakenBytes + 1, Remainder: io.NopCloser(strings.NewReader(""))}
				}
				return &Response{Status: 200, Body: []byte("last")}
			}}, func() Limits { return Limits{HeaderBytes: 4096} })
			if c.drain {
				server.StartDraining()
			}
			near, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
				is.NoErr(far.SetWriteBuffer(largeWriteBuffer))
				return far
			})
			is.NoErr(near.SetReadBuffer(32 << 10))
			_, err := near.Write([]byte(c.requests))
			is.NoErr(err)
			select {
			case <-ended: // a request that arrives now meets a closed connection
			case <-time.After(3 * lingerTimeout):
			}
			_, _ = near.Write([]byte(getThree)) // fails if the connection is gone
			received, err := io.ReadAll(near)
			is.NoErr(err) // the end of the stream, no reset
			is.True(len(received) > untakenBytes)
			is.True(strings.HasSuffix(string(received), c.end))
			is.NoErr(near.Close())
			<-ended // the caller's close ends the wait
		})
	}
}

// Guards against resetting a connection that is closed as idle while its caller may still read
// the last response, and against reading the request that crosses the close.
func TestIdleCloseIsNoReset(t *testing.T) {
	is := is.New(t)
	closing, reads := make(chan struct{}, 1), make(chan struct{}, 8)
	server := NewServer(stubHandler{handle: echo}, noLimits)
	c, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		return struct {
			noticeHook
			io.Reader
		}{noticeHook{far, closing}, readHook{far, func() { reads <- struct{}{} }}}
	})
	_, err := c.Write([]byte(getOne))
	is.NoErr(err)
	<-reads // the first request
	<-reads // waits for the second one
	for closed := false; !closed; {
		server.CloseIdle() // has no effect until the response has been acknowledged
		select {
		case <-closing:
			closed = true
		case <-time.After(time.Millisecond):
		}
	}
	_, _ = c.Write([]byte(getTwo)) // fails if the connection has been reset
	received, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(!sockopt.WasReset(c)) // Linux reports the end of the stream in either case
	is.True(strings.HasSuffix(string(received), "/1:"))
	is.Equal(strings.Count(string(received), "HTTP/1.1"), 1)
	is.NoErr(c.Close())
	<-ended
	is.Equal(len(reads), 0)
}

// Guards against an idle timeout that runs while the caller still reads the last response. The
// caller's own idle time begins when it has read it.
func TestIdleTimeoutWaitsForASlowCaller(t *testing.T) {
	is := is.New(t)
	const idleTimeout = 200 * time.Millisecond
	server := NewServer(stubHandler{handle: func(_ context.Context, r *http.Request) *Response {
		if r.URL.Path == "/1" {
			return &Response{Status: 200, Body: bytes.Repeat([]byte("a"), untakenBytes)}
		}
		return &Response{Status: 200, Body: []byte("second")}
	}}, func() Limits { return Limits{IdleTimeout: idleTimeout} })
	c, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		is.NoErr(far.SetWriteBuffer(largeWriteBuffer))
		return far
	})
	is.NoErr(c.SetReadBuffer(32 << 10))
	_, err := c.Write([]byte(getOne))
	is.NoErr(err)
	select {
	case <-ended:
	case <-time.After(5 * idleTimeout):
	}
	_, err = c.Write([]byte(getTwo))
	is.NoErr(err)
	received, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(received), "\r\n\r\nsecond"))
	is.NoErr(c.Close())
	<-ended
}
