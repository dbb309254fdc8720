package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	getOne   = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	getTwo   = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
	getThree = "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n"
)

func noLimits() Limits { return Limits{} }

// Guards against responses that are dropped because an earlier response on the same
// connection has announced the close although requests behind it are in progress.
func TestDrainingAnswersAllRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		var ran atomic.Int32
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			ran.Add(1)
			<-release
			return echo(ctx, r)
		}}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne+getTwo)
		synctest.Wait() // both are in progress
		server.StartDraining()
		server.CloseIdle()
		close(release)
		response, body := readResponse(t, r)
		is.Equal(body, "/1:")
		is.True(!response.Close) // another response follows
		send(c, getThree)
		response, body = readResponse(t, r)
		is.Equal(body, "/2:")
		is.True(response.Close)
		expectEnd(t, r)
		<-ended
		is.Equal(ran.Load(), int32(2)) // the request behind the announced close was not run
	})
}

// Guards against a malformed request that is not refused because the response before it
// has announced the close.
func TestDrainingRefusesMalformedRequestBehindAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			<-release
			return echo(ctx, r)
		}}, noLimits)
		c, r, _ := servePipe(server, nil)
		send(c, getOne+"nonsense\r\n\r\n")
		synctest.Wait()
		server.StartDraining()
		close(release)
		response, _ := readResponse(t, r)
		is.Equal(response.StatusCode, 200)
		is.True(!response.Close)
		response, _ = readResponse(t, r)
		is.Equal(response.StatusCode, 400)
		is.True(response.Close)
		expectEnd(t, r)
	})
}

// Guards against running a request that was read while it had to wait for the response
// that announces the close. The caller takes it for unread and sends it again.
func TestRequestBehindAnnouncedCloseIsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		drain bool
	}{
		"draining":          {getOne, true},
		"Connection: close": {"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		"HTTP/1.0":          {"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				release := make(chan struct{})
				var ran atomic.Int32
				server := NewServer(stubHandler{
					pipelined: func(*http.Request) bool { return false },
					handle: func(ctx context.Context, r *http.Request) *Response {
						ran.Add(1)
						<-release
						return echo(ctx, r)
					}}, noLimits)
				near, r, ended := servePipe(server, nil)
				send(near, c.first+getTwo)
				synctest.Wait()
				if c.drain {
					server.StartDraining()
				}
				close(release)
				response, body := readResponse(t, r)
				is.Equal(body, "/1:")
				is.True(response.Close)
				expectEnd(t, r)
				<-ended
				is.Equal(ran.Load(), int32(1))
			})
		})
	}
}

// deadlineHook calls a function before each change of the read deadline.
type deadlineHook struct {
	net.Conn
	before func(t time.Time)
}

func (d deadlineHook) SetReadDeadline(t time.Time) error {
	d.before(t)
	return d.Conn.SetReadDeadline(t)
}

// Guards against a connection that stays open until its idle timeout because the wait for
// a request replaced the read deadline by which the last response ends that wait.
func TestAnnouncedCloseEndsConcurrentWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			<-release
			return echo(ctx, r)
		}}, noLimits)
		cleared := false
		c, r, ended := servePipe(server, func(c net.Conn) net.Conn {
			return deadlineHook{c, func(deadline time.Time) {
				if cleared && time.Until(deadline) > time.Second {
					cleared = false
					close(release)
					time.Sleep(time.Millisecond) // until the response has been written
				}
				if deadline.IsZero() {
					cleared = true // the headers of the request have been read
				}
			}}
		})
		server.StartDraining()
		began := time.Now()
		send(c, getOne)
		response, _ := readResponse(t, r)
		is.True(response.Close)
		<-ended
		is.True(time.Since(began) < defaultTimeout)
	})
}

// Guards against a request that starts after the connection was sealed.
func TestNoRequestStartsAfterSeal(t *testing.T) {
	for range 2000 {
		var state requestState
		var started atomic.Int64
		var all sync.WaitGroup
		begin := make(chan struct{})
		for range 4 {
			all.Go(func() {
				<-begin
				if state.start() {
					started.Add(1)
				}
			})
		}
		sealed := make(chan int, 1)
		all.Go(func() {
			<-begin
			sealed <- state.seal()
		})
		close(begin)
		all.Wait()
		if n := <-sealed; int64(n) != started.Load() {
			t.Fatalf("%d requests were in progress at the seal, but %d have started", n, started.Load())
		}
	}
}
