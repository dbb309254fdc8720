package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// newBackendPool returns a pool for a server that runs script on each connection; n
// counts the connections from 0.
func newBackendPool(t *testing.T, script func(c net.Conn, r *bufio.Reader, n int)) *Pool {
	t.Helper()
	return newBackendPoolOn(t, net.ListenConfig{}, script)
}

func newBackendPoolOn(t *testing.T, config net.ListenConfig, script func(c net.Conn, r *bufio.Reader, n int)) *Pool {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c), n)
			}()
		}
	}()
	pool := NewPool(listener.Addr().String(), time.Second, membudget.Default())
	t.Cleanup(pool.Close)
	return pool
}

// readRequest reads one request with its body and reports whether one was read.
func readRequest(r *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err == nil
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{
		Method: "GET",
		Head:   []byte("GET /" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"),
		Match:  func(h http.Header) Match { return Proven(h.Get("Id") == id) },
	}
}

// Guards against opening a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	pool := newBackendPool(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			fmt.Fprint(c, responseText(got.Header.Get("Id"), "whole"))
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		response, err := pool.Do(context.Background(), newRequest(id))
		is.NoErr(err)
		is.Equal(string(response.Body), "whole")
	}
	is.Equal(pool.DialCount(), uint64(1))
}

// delayedEOFReader returns its content and reports EOF only after wait has returned.
type delayedEOFReader struct {
	content io.Reader
	wait    func()
}

func (l *delayedEOFReader) Read(p []byte) (int, error) {
	n, err := l.content.Read(p)
	if errors.Is(err, io.EOF) {
		l.wait()
	}
	return n, err
}

// Guards against closing the connection when the response arrives before the goroutine
// that writes the request has run again.
func TestConnectionIsReusedAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{}, 1)
	pool := newBackendPool(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			fmt.Fprint(c, responseText(got.Header.Get("Id"), "whole"))
			answered <- struct{}{}
		}
	})
	for _, id := range []string{"a", "b"} {
		call := newRequest(id)
		call.Head = []byte("POST /" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\n")
		call.Remainder = &delayedEOFReader{content: strings.NewReader("body"), wait: func() {
			<-answered
			time.Sleep(50 * time.Millisecond) // lets the response arrive
		}}
		a, err := pool.Do(context.Background(), call)
		is.NoErr(err)
		is.Equal(string(a.Body), "whole")
	}
	is.Equal(pool.DialCount(), uint64(1))
}

// Guards against passing a faulty server's bytes to another request, and against
// treating a truncated response as complete.
func TestFaultyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		// body is the body of the first request's response, or empty when it must fail.
		body string
		// reset resets the connection after the first response.
		reset bool
	}{
		"extra bytes":       {first: responseText("a", "whole") + "garbage", body: "whole"},
		"a second response": {first: responseText("a", "whole") + responseText("a", "again"), body: "whole"},
		"a late response to another request first": {first: responseText("old", "other") + responseText("a", "whole"), body: "whole"},
		"only a response to another request":       {first: responseText("old", "other")},
		"short":                                    {first: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc"},
		"no response":                              {first: ""},
		"not HTTP":                                 {first: "hello\r\n\r\n"},
		"truncated chunks":                         {first: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		"without length, closed":                   {first: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", body: "whole"},
		"without length, reset":                    {first: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", reset: true},
		"an interim response first":                {first: "HTTP/1.1 100 Continue\r\n\r\n" + responseText("a", "whole"), body: "whole"},
		"with Connection: close":                   {first: "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", body: "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, n int) {
				got, ok := readRequest(r)
				if !ok {
					return
				}
				if n > 0 {
					fmt.Fprint(conn, responseText(got.Header.Get("Id"), "second"))
					return
				}
				fmt.Fprint(conn, c.first)
				if c.reset {
					time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			a, err := pool.Do(context.Background(), newRequest("a"))
			if c.body == "" {
				var failure *RequestError
				is.True(errors.As(err, &failure))
				is.True(failure.Sent) // the request may have been executed
			} else {
				is.NoErr(err)
				is.Equal(string(a.Body), c.body)
			}
			time.Sleep(20 * time.Millisecond) // lets extra bytes arrive
			a, err = pool.Do(context.Background(), newRequest("b"))
			is.NoErr(err)
			is.Equal(string(a.Body), "second")
		})
	}
}

// Guards against reporting that a request may have been executed although no byte was
// sent.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	_, err = NewPool(address, time.Second, membudget.Default()).Do(context.Background(), newRequest("a"))
	var failure *RequestError
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	is.True(failure.Refused)
}

// Guards against servers that keep working for a caller that has disconnected: the
// server must see its connection reset.
func TestCancelResetsTheConnection(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	pool := newBackendPool(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		close(started)
		_, _ = r.ReadByte() // returns when the connection ends
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := pool.Do(ctx, newRequest("a"))
	is.True(errors.Is(err, context.Canceled))
	<-ended
}

// Guards against a request that keeps sending a long body after the server has
// responded, and against sending the next request where the server expects the rest of
// that body.
func TestEarlyResponseToLongBody(t *testing.T) {
	is := is.New(t)
	const size = 16 << 20
	pool := newBackendPool(t, func(c net.Conn, r *bufio.Reader, n int) {
		got, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprint(c, responseText(got.Header.Get("Id"), "early"))
		if n == 0 {
			time.Sleep(50 * time.Millisecond) // reads no body
		}
	})
	long := newRequest("a")
	long.Method = "POST"
	long.Head = []byte(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", size))
	long.Remainder = io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size)
	a, err := pool.Do(context.Background(), long)
	is.NoErr(err)
	is.Equal(string(a.Body), "early")
	_, err = pool.Do(context.Background(), newRequest("b"))
	is.NoErr(err)
	is.Equal(pool.DialCount(), uint64(2)) // the first connection is not reused
}

// Guards against buffering a long response completely, and against not detecting that
// it is truncated.
func TestLongResponseIsStreamed(t *testing.T) {
	for name, c := range map[string]struct {
		sent int
		ok   bool
	}{"whole": {1 << 20, true}, "short": {1<<20 - 1, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				readRequest(r)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", c.sent))
			})
			a, err := pool.Do(context.Background(), newRequest("a"))
			is.NoErr(err)
			is.True(len(a.Body) <= maxBufferedBytes+1)
			rest, err := io.ReadAll(a.Remainder)
			is.Equal(err == nil, c.ok)
			is.NoErr(a.Remainder.Close())
			is.Equal(len(a.Body)+len(rest), c.sent)
		})
	}
}

// Guards against sending a request after its context has ended.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	pool := newBackendPool(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			fmt.Fprint(c, responseText(got.Header.Get("Id"), "whole"))
		}
	})
	_, err := pool.Do(context.Background(), newRequest("a")) // leaves an idle connection in the pool
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Do(ctx, newRequest("b"))
	var failure *RequestError
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
}
