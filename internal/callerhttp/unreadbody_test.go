package callerhttp

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func refuse(context.Context, *http.Request) *Response { return &Response{Status: 503} }

// Guards against a connection that closes after an early response without having announced
// it, and against taking the request after it for the body that was not sent.
func TestEarlyResponseAnnouncesTheCloseIfTheBodyIsNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		closes bool
	}{
		"short body":               {"Content-Length: 1000", false},
		"long body":                {fmt.Sprintf("Content-Length: %d", bodyDrainBytes+1), true},
		"body that was not wanted": {"Content-Length: 1000\r\nExpect: 100-continue", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var ran atomic.Int32
				server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
					ran.Add(1)
					return refuse(ctx, r)
				}}, noLimits)
				near, r, ended := servePipe(server, nil)
				send(near, "POST /1 HTTP/1.1\r\nHost: h\r\n"+c.header+"\r\n\r\n")
				response, _ := readResponse(t, r)
				is.Equal(response.Close, c.closes)
				if c.closes {
					send(near, getTwo)
				} else {
					send(near, strings.Repeat("a", 1000)+getTwo)
					readResponse(t, r)
					near.Close()
				}
				<-ended
				is.Equal(ran.Load() == 1, c.closes)
			})
		})
	}
}

// Guards against taking the next request for a body that the caller was not asked for while
// the request is still being handled.
func TestNextRequestIsNotTakenForUnwantedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			r.Body.Close()
			<-release
			return refuse(ctx, r)
		}}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n"+getTwo)
		synctest.Wait()
		close(release)
		response, _ := readResponse(t, r)
		is.Equal(response.StatusCode, 503)
		is.True(response.Close)
		expectEnd(t, r)
		<-ended
	})
}
