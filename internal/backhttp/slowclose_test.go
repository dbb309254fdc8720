package backhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// slowCloseConn is a connection whose Close, as that of a socket, first ends the calls in
// progress and then gives up the connection, here once finish is closed.
type slowCloseConn struct {
	net.Conn
	finish chan struct{}
}

func (c *slowCloseConn) Close() error {
	err := c.Conn.Close()
	<-c.finish
	return err
}

// Guards against an order that counts as ended while the kernel still has its connection,
// since the goroutine that closes it was interrupted: its bytes could still arrive.
func TestRequestEndsAfterItsConnection(t *testing.T) {
	for _, writing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer far.Close()
			pool := NewPool("", 0, membudget.Default())
			slow := &slowCloseConn{Conn: near, finish: make(chan struct{})}
			pool.idle.push(newConn(slow))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				_, err := pool.Do(ctx, newRequest("a"))
				done <- err
			}()
			if !writing {
				_, ok := readRequest(bufio.NewReader(far))
				is.True(ok)
			}
			synctest.Wait()
			cancel()
			synctest.Wait()
			is.Equal(len(done), 0) // the request has ended before its connection
			close(slow.finish)
			is.True(<-done != nil)
		})
	}
}

// Guards against an order that counts as ended while its connection is still there, after
// an answer that came early and is too long to be read.
func TestLongResponseIsClosedWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer far.Close()
		pool := NewPool("", 0, membudget.Default())
		slow := &slowCloseConn{Conn: near, finish: make(chan struct{})}
		pool.idle.push(newConn(slow))
		go func() {
			_, _ = readRequest(bufio.NewReader(far))
			_, _ = io.WriteString(far, responseText("a", strings.Repeat("x", maxBufferedBytes+1)))
		}()
		response, err := pool.Do(t.Context(), newRequest("a"))
		is.NoErr(err)
		closed := make(chan error, 1)
		go func() { closed <- response.Remainder.Close() }()
		synctest.Wait()
		is.Equal(len(closed), 0) // the response has been closed before its connection
		close(slow.finish)
		is.NoErr(<-closed)
		response.Release()
	})
}
