package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a connection that keeps the short limit of a grant, so that a request
// that it carries later is given up after the loss of a few packets, and the reverse.
func TestDeliveryIsLimitedByTheDeadlineOfItsRequest(t *testing.T) {
	is := is.New(t)
	pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		for {
			got, ok := readRequest(r)
			if !ok {
				return
			}
			fmt.Fprint(conn, responseText(got.Header.Get("Id"), "whole"))
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	near := lateTimerContext{ctx, time.Now().Add(unackedTimeout / 2)}
	for i, ctx := range []context.Context{ctx, near, ctx} {
		request := newRequest("a")
		request.EndWithDeadline = true
		_, err := pool.Do(ctx, request)
		if _, isNear := ctx.(lateTimerContext); isNear && err != nil {
			t.Log("the machine was too busy to send the request in time")
		} else {
			is.NoErr(err)
		}
		c := pool.idle.pop()
		raw, err := c.net.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			limit, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			is.NoErr(err)
			is.Equal(limit < int(unackedTimeout.Milliseconds()), i == 1)
		}))
		pool.idle.push(c)
	}
}
