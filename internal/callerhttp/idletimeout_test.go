package callerhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an idle timeout that runs from the arrival of the last request instead of
// its response. Callers reuse connections that have been idle for most of the timeout.
func TestIdleTimeoutRunsFromTheLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const idleTimeout = 10 * time.Second
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			time.Sleep(9 * time.Second)
			return echo(ctx, r)
		}}, func() Limits { return Limits{IdleTimeout: idleTimeout} })
		c, r, ended := servePipe(server, nil)
		for range 3 {
			send(c, getOne)
			_, body := readResponse(t, r)
			is.Equal(body, "/1:")
			time.Sleep(idleTimeout * 4 / 5)
		}
		send(c, getOne)
		readResponse(t, r)
		answeredAt := time.Now()
		expectEnd(t, r)
		<-ended
		is.Equal(time.Since(answeredAt), idleTimeout)
	})
}

// Guards against an idle timeout that ends sooner than the one in effect, because the
// connection became idle under an earlier configuration.
func TestRaisedIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var timeout atomic.Int64
		timeout.Store(int64(10 * time.Second))
		server := NewServer(stubHandler{handle: echo}, func() Limits { return Limits{IdleTimeout: time.Duration(timeout.Load())} })
		c, r, ended := servePipe(server, nil)
		send(c, getOne)
		readResponse(t, r)
		time.Sleep(5 * time.Second)
		timeout.Store(int64(20 * time.Second))
		time.Sleep(11 * time.Second)
		send(c, getTwo)
		_, body := readResponse(t, r)
		is.Equal(body, "/2:")
		c.Close()
		<-ended
	})
}
