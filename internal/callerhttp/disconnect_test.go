package callerhttp

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against requests that go on at servers after the caller has disconnected,
// because nothing is read from the connection behind its last request, and against a
// cancellation with another cause.
func TestDisconnectCancelsLastRequests(t *testing.T) {
	for name, sent := range map[string]string{
		"Connection: close": "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":          "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n",
		"before nonsense":   getOne + "nonsense\r\n\r\n",
		"with a body":       "POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var cause error
				server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
					echo(ctx, r)
					<-ctx.Done()
					cause = context.Cause(ctx)
					return &Response{}
				}}, noLimits)
				c, _, ended := servePipe(server, nil)
				send(c, sent)
				synctest.Wait()
				c.Close()
				<-ended // a deadlock if the request is not cancelled
				is.Equal(cause, context.Canceled)
			})
		})
	}
}

// Guards against requests that go on at servers after the caller has disconnected, while
// the connection ends because the instance is stopping.
func TestDisconnectCancelsRequestsWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			if r.URL.Path == "/1" {
				<-release
				return echo(ctx, r)
			}
			<-ctx.Done()
			return &Response{}
		}}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne+getTwo)
		synctest.Wait()
		server.StartDraining()
		close(release)
		_, body := readResponse(t, r)
		is.Equal(body, "/1:")
		send(c, getThree) // not run: the close is to be announced by the response before it
		synctest.Wait()
		c.Close()
		<-ended
	})
}
