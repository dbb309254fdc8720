package backhttp

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// endlessResponse is a response that never ends: start, then unit again and again.
type endlessResponse struct {
	start, unit string
}

// endlessFailures are responses of which nothing can be passed on.
var endlessFailures = map[string]endlessResponse{
	"status line":  {"HTTP/1.1 200 ", strings.Repeat("O", 512)},
	"header line":  {"HTTP/1.1 200 OK\r\nId: ", strings.Repeat("a", 512)},
	"header lines": {"HTTP/1.1 200 OK\r\nId: a\r\n", "X-A: " + strings.Repeat("a", 512) + "\r\n"},
	"no protocol":  {"", strings.Repeat("\x00", 512)},
	// Each of these responses is complete, but none answers the request.
	"interim responses":             {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"responses to other requests":   {"", responseText("other", "other")},
	"a response to another request": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("x", 512)},
	"chunk extension":               {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 512)},
	"chunk extensions":              {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 512) + "\r\nx\r\n"},
	"trailer":                       {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
}

// Guards against memory that grows with what a server sends without ever completing a
// response, and against such a request that is reported as not sent.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, c := range endlessFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool, server, closed := newPipePool(t, func(s *pipeServer) { s.flood(c.start, c.unit) })
				_, err := pool.Do(t.Context(), newRequest("a"))
				var failure *RequestError
				is.True(errors.As(err, &failure))
				is.True(failure.Sent) // the request may have been executed
				<-closed
				is.True(server.written.Load() < floodLimitBytes)
				is.True(pool.idle.pop() == nil)
			})
		})
	}
}

// Guards against a request that outlasts its deadline because its server never falls
// silent.
func TestSlowEndlessResponseEndsAtTheDeadline(t *testing.T) {
	for name, c := range endlessFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool, _, closed := newPipePool(t, func(s *pipeServer) { s.trickle(c.start, c.unit) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := pool.Do(ctx, newRequest("a"))
				var failure *RequestError
				is.True(errors.As(err, &failure))
				is.True(failure.Sent)
				is.True(errors.Is(err, context.DeadlineExceeded))
				<-closed
			})
		})
	}
}

// endlessBodies are responses whose heads answer the request.
var endlessBodies = map[string]endlessResponse{
	"with a length":        {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 512)},
	"in chunks":            {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "200\r\n" + strings.Repeat("x", 512) + "\r\n"},
	"delimited by a close": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", strings.Repeat("x", 512)},
}

// Guards against a connection and its goroutine that stay for as long as the server goes
// on with a body, and against taking the part that arrived for the complete body.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	for name, c := range endlessBodies {
		for _, read := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, read %t", name, read), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					streamed := c.start + strings.Repeat(c.unit, 2*maxBufferedBytes/len(c.unit))
					pool, _, closed := newPipePool(t, func(s *pipeServer) { s.trickle(streamed, c.unit) })
					start := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute-time.Second/2)
					defer cancel()
					response, err := pool.Do(ctx, newRequest("a"))
					is.NoErr(err)
					if read {
						_, err := io.Copy(io.Discard, response.Remainder)
						is.True(err != nil)
						is.NoErr(response.Remainder.Close())
					}
					<-closed
					is.True(ctx.Err() != nil)
					is.True(time.Since(start) <= time.Minute) // the server notices at its next byte
				})
			})
		}
	}
}

// Guards against bytes after a complete response that keep its connection, with or
// without end.
func TestBytesAfterTheResponseEndTheConnection(t *testing.T) {
	for name, unit := range map[string]string{"no response": strings.Repeat("x", 512), "responses": responseText("a", "again")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool, server, closed := newPipePool(t, func(s *pipeServer) { s.flood(responseText("a", "whole"), unit) })
				response, err := pool.Do(t.Context(), newRequest("a"))
				is.NoErr(err)
				is.Equal(string(response.Body), "whole")
				<-closed
				is.True(server.written.Load() < floodLimitBytes)
				c := pool.idle.pop()
				is.True(c == nil || !c.canReuse(time.Now()))
			})
		})
	}
}

// Guards against a connection that is kept although nobody reads the rest of its
// response.
func TestClosedBodyEndsTheConnection(t *testing.T) {
	for name, c := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool, server, closed := newPipePool(t, func(s *pipeServer) { s.flood(c.start, c.unit) })
				response, err := pool.Do(t.Context(), newRequest("a"))
				is.NoErr(err)
				is.True(len(response.Body) <= maxBufferedBytes+1)
				is.NoErr(response.Remainder.Close())
				<-closed
				is.True(server.written.Load() < floodLimitBytes)
				is.True(pool.idle.pop() == nil)
			})
		})
	}
}

// Guards against a limit that cuts off complete responses with long heads.
func TestLongHeadIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		value := strings.Repeat("a", maxHeadBytes/2)
		pool, _, closed := newPipePool(t, func(s *pipeServer) {
			_, _ = s.Write([]byte("HTTP/1.1 200 OK\r\nId: a\r\nX-A: " + value + "\r\nContent-Length: 5\r\n\r\nwhole"))
		})
		response, err := pool.Do(t.Context(), newRequest("a"))
		is.NoErr(err)
		is.Equal(response.Header.Get("X-A"), value)
		is.Equal(string(response.Body), "whole")
		pool.Close()
		<-closed
	})
}
