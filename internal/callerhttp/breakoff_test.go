package callerhttp

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// brokenResponse is a response whose body ends before its announced length.
func brokenResponse() *Response {
	return &Response{Status: 200, Length: 10, Remainder: truncatedBody{io.MultiReader(strings.NewReader("abc"), errReader{})}}
}

// Guards against requests that go on at servers, or whose response is dropped without a
// report, behind a response that was broken off or that has no status; and against a
// cancellation that looks as if the caller had left.
func TestBrokenOffResponseEndsRequestsBehindIt(t *testing.T) {
	for name, first := range map[string]func() *Response{
		"truncated body": brokenResponse,
		"no status":      func() *Response { return &Response{} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				release := make(chan struct{})
				unwritten := make(chan string, 3)
				cause := make(chan error, 1)
				server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
					response := &Response{Status: 200}
					switch r.URL.Path {
					case "/1":
						<-release
						response = first()
					case "/3": // ends before the first one
					default:
						<-ctx.Done()
						cause <- context.Cause(ctx)
						response = &Response{}
					}
					response.OnWriteError = func(error) { unwritten <- r.URL.Path }
					return response
				}}, noLimits)
				c, r, ended := servePipe(server, nil)
				send(c, getOne+getTwo+getThree)
				synctest.Wait()
				close(release)
				sent, _ := io.ReadAll(r) // the end of the connection is what the test waits for
				is.True(strings.Count(string(sent), "HTTP/1.1") <= 1)
				<-ended
				is.True(errors.Is(<-cause, errBrokenOff))
				close(unwritten)
				var reported []string
				for path := range unwritten {
					reported = append(reported, path)
				}
				if name == "truncated body" {
					is.Equal(reported, []string{"/1", "/3"})
				} else {
					is.Equal(reported, []string{"/3"}) // a response without a status was never to be written
				}
			})
		})
	}
}

// Guards against a truncated response whose end the caller sees only once the requests
// behind it have ended.
func TestTruncatedResponseEndsAtOnce(t *testing.T) {
	is := is.New(t)
	release, second := make(chan struct{}), make(chan struct{})
	_, c := startServer(t, stubHandler{handle: func(_ context.Context, r *http.Request) *Response {
		if r.URL.Path == "/1" {
			<-second
			return brokenResponse()
		}
		close(second)
		<-release // does not react to the cancellation
		return &Response{}
	}})
	defer close(release)
	send(c, getOne+getTwo)
	sent, err := io.ReadAll(c) // returns only if the connection ends before the second request does
	is.NoErr(err)
	is.True(strings.HasSuffix(string(sent), "\r\n\r\nabc"))
}
