package callerhttp

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that go on, or start, after their caller has disconnected while
// a further request has been read and waits for them.
func TestDisconnectIsNoticedWhileARequestWaits(t *testing.T) {
	for name, c := range map[string]struct {
		waiting   string
		pipelined bool
		running   int
	}{
		"for its turn":        {"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na", false, 1},
		"for a free slot":     {getTwo, true, pipelineDepth},
		"with more behind it": {getTwo + getThree, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int32
			started := make(chan struct{}, pipelineDepth+2)
			waits := make(chan struct{}, pipelineDepth+2)
			server := NewServer(stubHandler{
				pipelined: func(r *http.Request) bool {
					waits <- struct{}{}
					return c.pipelined
				},
				handle: func(ctx context.Context, _ *http.Request) *Response {
					ran.Add(1)
					started <- struct{}{}
					<-ctx.Done()
					return &Response{}
				}}, noLimits)
			near, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn { return far })
			_, err := near.Write([]byte(strings.Repeat(getOne, c.running) + c.waiting))
			is.NoErr(err)
			for range c.running {
				<-started
				<-waits
			}
			<-waits // the next request has been read
			is.NoErr(near.Close())
			<-ended
			is.Equal(int(ran.Load()), c.running)
		})
	}
}
