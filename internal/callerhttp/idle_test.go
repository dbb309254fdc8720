package callerhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// readHook calls a function before each read.
type readHook struct {
	*net.TCPConn
	before func()
}

func (h readHook) Read(p []byte) (int, error) {
	h.before()
	return h.TCPConn.Read(p)
}

// serveTCP serves one TCP connection, whose server's end is wrapped by wrap. The returned
// channel is closed when the server has closed the connection.
func serveTCP(t *testing.T, server *Server, wrap func(*net.TCPConn) net.Conn) (*net.TCPConn, chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c := newConn(server, wrap(far.(*net.TCPConn)), ctx, cancel)
	server.conns.Store(c, nil)
	server.connCount.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.serve()
	}()
	return near.(*net.TCPConn), ended
}

// awaitUnread waits until the connection has received bytes that have not been read.
func awaitUnread(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
}

// Guards against a request that reached the connection before its idle close and is
// discarded, because the goroutine that reads requests had no processor time until then.
func TestRequestThatHasArrivedIsServedDespiteIdleClose(t *testing.T) {
	is := is.New(t)
	waiting, proceed := make(chan *net.TCPConn, 1), make(chan struct{})
	server := NewServer(stubHandler{handle: echo}, noLimits)
	var once sync.Once
	c, _ := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		return readHook{far, func() {
			once.Do(func() { waiting <- far })
			<-proceed
		}}
	})
	far := <-waiting
	send(c, getOne)
	is.NoErr(awaitUnread(far))
	server.CloseIdle()
	close(proceed)
	r := bufio.NewReader(c)
	response, body := readResponse(t, r)
	is.Equal(body, "/1:")
	is.True(response.Close)
	expectEnd(t, r)
}

// Guards against a request that reached the connection before its idle timeout and is
// discarded, because the process stood still until the timeout had passed as well.
func TestRequestThatHasArrivedIsServedDespiteIdleTimeout(t *testing.T) {
	is := is.New(t)
	server := NewServer(stubHandler{handle: echo}, func() Limits { return Limits{IdleTimeout: time.Millisecond} })
	var once sync.Once
	c, _ := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		return readHook{far, func() {
			once.Do(func() {
				_ = far.SetReadDeadline(time.Time{})
				_ = awaitUnread(far) // a failure shows as a missing response
				time.Sleep(time.Millisecond)
				_ = far.SetReadDeadline(time.Unix(1, 0)) // as the idle timeout has passed
			})
		}}
	})
	send(c, getOne)
	_, body := readResponse(t, bufio.NewReader(c))
	is.Equal(body, "/1:")
}

// interruptedConn calls functions after each read that returned data and before each
// interruption of a read.
type interruptedConn struct {
	net.Conn
	afterData       func()
	beforeInterrupt func()
}

func (c interruptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterData()
	}
	return n, err
}

func (c interruptedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) < 0 {
		c.beforeInterrupt()
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against an idle close that interrupts a request whose first bytes have been read.
func TestIdleCloseDoesNotInterruptARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: echo}, noLimits)
		interrupting := make(chan struct{})
		var once, onceInterrupting sync.Once
		c, r, ended := servePipe(server, func(c net.Conn) net.Conn {
			return interruptedConn{c, func() {
				once.Do(func() {
					go server.CloseIdle()
					<-interrupting // the connection was idle, but the read is not interrupted yet
				})
			}, func() {
				onceInterrupting.Do(func() {
					close(interrupting)
					time.Sleep(time.Second)
				})
			}}
		})
		send(c, getOne[:10])
		time.Sleep(2 * time.Second)
		send(c, getOne[10:])
		response, body := readResponse(t, r)
		is.Equal(body, "/1:")
		is.True(response.Close)
		expectEnd(t, r)
		<-ended
	})
}

// Guards against an idle connection that stays open after CloseIdle until its idle timeout.
func TestIdleCloseIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: echo}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne)
		response, _ := readResponse(t, r)
		is.True(!response.Close)
		synctest.Wait()
		began := time.Now()
		server.CloseIdle()
		expectEnd(t, r)
		<-ended
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against running a request that is sent after the idle close.
func TestRequestBehindIdleCloseIsNotRun(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int32
	server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
		ran.Add(1)
		return echo(ctx, r)
	}}, noLimits)
	c, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn { return far })
	server.CloseIdle()
	r := bufio.NewReader(c)
	expectEnd(t, r)
	send(c, getOne)
	<-ended
	is.Equal(ran.Load(), int32(0))
}

// Guards against an idle connection that stays open until its idle timeout because the
// wait for a request replaced the read deadline by which CloseIdle ends that wait.
func TestIdleCloseEndsConcurrentWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: echo}, noLimits)
		cleared := false
		c, r, ended := servePipe(server, func(c net.Conn) net.Conn {
			return deadlineHook{c, func(deadline time.Time) {
				if cleared && time.Until(deadline) > time.Second {
					cleared = false
					time.Sleep(time.Millisecond) // until the response has been written
					server.CloseIdle()
				}
				if deadline.IsZero() {
					cleared = true // the headers of the request have been read
				}
			}}
		})
		began := time.Now()
		send(c, getOne)
		readResponse(t, r)
		expectEnd(t, r)
		<-ended
		is.True(time.Since(began) < defaultTimeout)
	})
}
