package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stubHandler is a Handler made of functions.
type stubHandler struct {
	pipelined func(*http.Request) bool
	handle    func(context.Context, *http.Request) *Response
	arrived   func(r *http.Request, at time.Time)
	streams   func(*http.Request) bool
}

func (s stubHandler) Traits(r *http.Request) Traits {
	return Traits{Concurrent: s.pipelined == nil || s.pipelined(r), MayStream: s.streams != nil && s.streams(r)}
}

func (s stubHandler) Handle(ctx context.Context, r *http.Request, arrivedAt time.Time) *Response {
	if s.arrived != nil {
		s.arrived(r, arrivedAt)
	}
	return s.handle(ctx, r)
}

func startServer(t *testing.T, h Handler) (*Server, net.Conn) {
	t.Helper()
	server := NewServer(h, func() Limits { return Limits{HeaderBytes: 4096} })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	t.Cleanup(func() { listener.Close() })
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return server, c
}

func echo(_ context.Context, r *http.Request) *Response {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return &Response{}
	}
	return &Response{Status: 200, Body: append([]byte(r.URL.Path+":"), body...)}
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// Guards against running pipelined requests sequentially or answering them out of
// order.
func TestPipelinedRequestsRunConcurrentlyAndAnswerInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c := startServer(t, stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
		if r.URL.Path == "/1" {
			<-second // returns only if the second request runs concurrently
		} else {
			close(second)
		}
		return echo(ctx, r)
	}})
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	r := bufio.NewReader(c)
	_, body := readResponse(t, r)
	is.Equal(body, "/1:")
	_, body = readResponse(t, r)
	is.Equal(body, "/2:")
}

// Guards against starting a non-idempotent request while another one is running, whose
// response may close the connection.
func TestNonIdempotentRequestsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	var running atomic.Int32
	_, c := startServer(t, stubHandler{
		pipelined: func(r *http.Request) bool { return r.Method == http.MethodGet },
		handle: func(ctx context.Context, r *http.Request) *Response {
			if running.Add(1) > 1 {
				return &Response{Status: 500}
			}
			defer running.Add(-1)
			time.Sleep(20 * time.Millisecond)
			return echo(ctx, r)
		}})
	fmt.Fprint(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naPOST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbcd\r\n0\r\n\r\n")
	r := bufio.NewReader(c)
	response, body := readResponse(t, r)
	is.Equal(response.StatusCode, 200)
	is.Equal(body, "/1:a")
	response, body = readResponse(t, r)
	is.Equal(response.StatusCode, 200)
	is.Equal(body, "/2:bcd")
}

// Guards against continuing a request after the caller has closed, half-closed or reset
// its connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset":      func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		for _, last := range []string{"", "Connection: close\r\n"} {
			t.Run(name+", "+last, func(t *testing.T) {
				started, cancelled := make(chan struct{}), make(chan struct{})
				_, c := startServer(t, stubHandler{handle: func(ctx context.Context, _ *http.Request) *Response {
					close(started)
					<-ctx.Done()
					close(cancelled)
					return &Response{}
				}})
				fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n%s\r\n", last)
				<-started
				if err := leave(c.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				<-cancelled
			})
		}
	}
}

// Guards against request smuggling and against executing malformed requests.
func TestMalformedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"headers too long":        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 8000) + "\r\n\r\n", 431},
		"request line too long":   {"GET /" + strings.Repeat("a", 8000) + " HTTP/1.1\r\nHost: h\r\n\r\n", 431},
		"not HTTP":                {"\x16\x03\x01\x02\r\n\r\n", 400},
		"two lengths":             {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\naGET /x HTTP/1.1\r\n\r\n", 400},
		"unknown transfer coding": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"negative length":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400},
		"space before colon":      {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400},
		"header without name":     {"GET / HTTP/1.1\r\n: h\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ran := false
			_, conn := startServer(t, stubHandler{handle: func(context.Context, *http.Request) *Response {
				ran = true
				return &Response{Status: 200}
			}})
			fmt.Fprint(conn, c.text)
			r := bufio.NewReader(conn)
			response, _ := readResponse(t, r)
			is.Equal(response.StatusCode, c.status)
			_, err := r.ReadByte()
			is.True(err != nil) // the connection is closed
			is.True(!ran)
		})
	}
}

// Guards against request smuggling with both Content-Length and chunked coding: the
// bytes that follow must not be taken for a request.
func TestNothingFollowsAnAmbiguousBody(t *testing.T) {
	is := is.New(t)
	var paths []string
	_, c := startServer(t, stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
		paths = append(paths, r.URL.Path)
		return echo(ctx, r)
	}})
	fmt.Fprint(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n")
	answered, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(answered), "/hidden"))
	is.Equal(len(paths), 1)
}

// Guards against an early refusal that the caller never receives because its unread
// body causes a connection reset.
func TestEarlyRefusalReachesCaller(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t, stubHandler{handle: func(context.Context, *http.Request) *Response { return &Response{Status: 503} }})
	body := strings.Repeat("a", 200<<10)
	fmt.Fprintf(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	r := bufio.NewReader(c)
	response, _ := readResponse(t, r)
	is.Equal(response.StatusCode, 503)
	fmt.Fprint(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	response, _ = readResponse(t, r)
	is.Equal(response.StatusCode, 503) // the connection stays open
}

// Guards against a planned stop that interrupts a request or leaves connections open.
func TestDrainingClosesConnectionsAfterResponses(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	server, c := startServer(t, stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
		close(started)
		<-release
		return echo(ctx, r)
	}})
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	server.StartDraining()
	server.CloseIdle() // must not close the connection with the request
	close(release)
	r := bufio.NewReader(c)
	response, body := readResponse(t, r)
	is.Equal(body, "/1:")
	is.True(response.Close)
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// truncatedBody is a response body that ends early.
type truncatedBody struct{ io.Reader }

func (truncatedBody) Close() error { return nil }

// Guards against a truncated response that looks complete.
func TestTruncatedResponseDoesNotLookComplete(t *testing.T) {
	for name, length := range map[string]int64{"length": 10, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			failed := make(chan error, 1)
			_, c := startServer(t, stubHandler{handle: func(context.Context, *http.Request) *Response {
				rest := truncatedBody{io.MultiReader(strings.NewReader("abc"), errReader{})}
				return &Response{Status: 200, Body: []byte("xy"), Remainder: rest, Length: length, OnWriteError: func(err error) { failed <- err }}
			}})
			fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
			is.True(<-failed != nil)
		})
	}
}

// errReader fails with io.ErrUnexpectedEOF.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
