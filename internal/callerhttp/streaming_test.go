package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// steadyBody yields a block of 1 KB each second, for the given number of blocks.
type steadyBody struct {
	blocks int
}

func (b *steadyBody) Read(p []byte) (int, error) {
	if b.blocks == 0 {
		return 0, io.EOF
	}
	b.blocks--
	time.Sleep(time.Second)
	return len(p[:min(len(p), 1024)]), nil
}

func (*steadyBody) Close() error { return nil }

// Guards against cutting off a long response whose caller reads it as it arrives, and
// against waiting without end for a caller that does not read.
func TestStreamedResponseIsLimitedByProgress(t *testing.T) {
	const blocks = 10 * int(stallTimeout/time.Second)
	for _, length := range []int64{1024 * int64(blocks), -1} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("length %d, caller reads %t", length, reads), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					body := &steadyBody{blocks: blocks}
					server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
						return &Response{Status: 200, Remainder: body, Length: length}
					}}, func() Limits { return Limits{IdleTimeout: time.Hour} })
					caller, raw := net.Pipe()
					ctx, cancel := context.WithCancelCause(t.Context())
					served := make(chan struct{})
					go func() {
						defer close(served)
						newConn(server, raw, ctx, cancel).serve()
					}()
					fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					response, err := http.ReadResponse(bufio.NewReader(caller), nil)
					is.NoErr(err)
					if reads {
						n, err := io.Copy(io.Discard, response.Body)
						is.NoErr(err)
						is.Equal(n, int64(1024*blocks))
						is.NoErr(caller.Close())
					}
					<-served
					is.Equal(body.blocks == 0, reads)
				})
			})
		}
	}
}

// contextBody yields nothing until its context ends.
type contextBody struct {
	ctx context.Context
}

func (b contextBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (contextBody) Close() error { return nil }

// Guards against a streamed response that goes on after the caller has left, also on a
// connection that takes no further request.
func TestDisconnectEndsStreamedResponse(t *testing.T) {
	for name, c := range map[string]struct {
		header   string
		draining bool
	}{
		"kept connection": {},
		"last request":    {header: "Connection: close\r\n"},
		"draining":        {draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, 1)
			server, caller := startServer(t, stubHandler{handle: func(ctx context.Context, _ *http.Request) *Response {
				return &Response{Status: 200, Remainder: contextBody{ctx}, Length: -1, OnWriteError: func(err error) { ended <- err }}
			}})
			if c.draining {
				server.StartDraining()
			}
			fmt.Fprintf(caller, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", c.header)
			_, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.NoErr(caller.Close())
			is.True(errors.Is(<-ended, context.Canceled))
		})
	}
}
