package callerhttp

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// gatedBody waits before it yields its content.
type gatedBody struct {
	gate <-chan struct{}
	io.Reader
}

func (b gatedBody) Read(p []byte) (int, error) {
	<-b.gate
	return b.Reader.Read(p)
}

func (gatedBody) Close() error { return nil }

// Guards against requests that run at sound servers behind a response that is streamed and
// breaks off, so that they are never answered (review/12), and against requests that wait longer
// than until that response has been received.
func TestRequestsBehindAStreamedResponseWaitForItsEnd(t *testing.T) {
	for name, breaks := range map[string]bool{"received": false, "broken off": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				gate := make(chan struct{})
				started := make(chan string, 4)
				server := NewServer(stubHandler{
					streams: func(r *http.Request) bool { return r.URL.Path == "/1" },
					handle: func(_ context.Context, r *http.Request) *Response {
						started <- r.URL.Path
						if r.URL.Path != "/1" {
							return &Response{Status: 200}
						}
						var content io.Reader = strings.NewReader("whole")
						if breaks {
							content = io.MultiReader(strings.NewReader("who"), errReader{})
						}
						return &Response{Status: 200, Length: 5, Remainder: gatedBody{gate, content}}
					},
				}, noLimits)
				c, r, ended := servePipe(server, nil)
				send(c, getOne+getTwo+getThree)
				synctest.Wait()
				is.Equal(len(started), 1)
				close(gate)
				if !breaks {
					synctest.Wait()
					is.Equal(len(started), 3) // before the caller has read the response
					for range 3 {
						response, _ := readResponse(t, r)
						is.Equal(response.StatusCode, 200)
					}
					is.NoErr(c.Close())
				} else {
					_, _ = io.Copy(io.Discard, r) // the end of the connection is what the test waits for
				}
				<-ended
				is.Equal(len(started) == 3, !breaks)
			})
		})
	}
}
