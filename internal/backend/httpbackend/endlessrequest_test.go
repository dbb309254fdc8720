package httpbackend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

const (
	otherRequest = backend.HeaderRequestID + ": other"
	thisRequest  = backend.HeaderRequestID + ": one"
	// wholeResponse is a complete response to request "one".
	wholeResponse = "HTTP/1.1 200 OK\r\n" + thisRequest + "\r\nContent-Length: 0\r\n\r\n"
)

// isStreamed reports whether the response has a body that Send passes on as it arrives.
func isStreamed(r rawserver.Response) bool {
	return strings.HasPrefix(r.Name, "with a length") || strings.Contains(r.Start, "chunked")
}

// Guards against a request that is reported as not run, or that fills the memory, because
// its response never ends; and against one that keeps its connection and goroutines once
// the receiver has closed the body or the context has ended.
func TestEndlessResponseToRequest(t *testing.T) {
	for _, c := range rawserver.Endless(200, otherRequest, thisRequest) {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, receiver closes %t", c.Name, closes), func(t *testing.T) {
				is := is.New(t)
				limit := int64(rawserver.FloodLimit)
				if c.Long {
					limit = rawserver.NoFloodLimit // read as it arrives
				}
				raw, client := startEndless(t, limit, c, wholeResponse)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				response, err := client.Send(ctx, order, newRequest("POST", "one", nil))
				is.Equal(err == nil, isStreamed(c))
				if err == nil {
					read := int64(1 << 20)
					n, err := io.CopyN(io.Discard, response.Body, read)
					is.Equal(err == nil, c.Long)
					if !closes {
						cancel()
						_, err = io.Copy(io.Discard, response.Body)
						is.True(err != nil)
					}
					is.True(n <= read)
					is.NoErr(response.Body.Close())
				} else {
					is.Equal(problem.From(err).Stage, outcome.StageWritten)
					is.Equal(problem.From(err).Outcome, outcome.Unknown)
				}
				raw.AwaitClose(t)
				is.NoErr(send(t, client, newRequest("POST", "one", nil))) // the next request is not affected
			})
		}
	}
}

// Guards against a request that outlasts its context because the server goes on with its
// response, or that is then reported as not run.
func TestUnfinishedResponseEndsWithItsContext(t *testing.T) {
	const refusal = "HTTP/1.1 503 Text\r\n" + thisRequest + "\r\n" + backend.HeaderNotRun + ": true\r\n"
	for _, start := range []string{"HTTP/1.1 200", "HTTP/1.1 200 OK\r\nX-A", refusal + "X-A", refusal + "Content-Length: 100\r\n\r\nx", refusal + "\r\nx"} {
		t.Run(start, func(t *testing.T) {
			is := is.New(t)
			raw, client := startEndless(t, rawserver.FloodLimit, rawserver.Response{Start: start}, wholeResponse)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-raw.Requests()
				cancel()
			}()
			_, err := client.Send(ctx, order, newRequest("POST", "one", nil))
			is.True(err != nil)
			is.Equal(problem.From(err).Kind, problem.KindCallerGone)
			is.Equal(problem.From(err).Outcome, outcome.Unknown)
			raw.AwaitClose(t)
		})
	}
}

// Guards against a request that is reported as not run on the word of a response that
// never ends.
func TestEndlessRefusalProvesNothing(t *testing.T) {
	for _, c := range rawserver.Endless(503, otherRequest, thisRequest, backend.HeaderNotRun+": true") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			raw, client := startEndless(t, rawserver.FloodLimit, c, wholeResponse)
			_, err := client.Send(t.Context(), order, newRequest("POST", "one", nil))
			is.True(err != nil)
			is.Equal(problem.From(err).Stage, outcome.StageWritten)
			is.Equal(problem.From(err).Outcome, outcome.Unknown)
			raw.AwaitClose(t)
			is.NoErr(send(t, client, newRequest("POST", "one", nil))) // the next request is not affected
		})
	}
}

// Guards against a new connection for each request that a server refuses.
func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := httpbackend.New("s-1", server.Listener.Addr().String(), 3)
	defer client.Close()
	for range 3 {
		_, err := client.Send(t.Context(), order, newRequest("POST", "one", nil))
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
	}
	is.Equal(connections.Load(), int64(1))
}
