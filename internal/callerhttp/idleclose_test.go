package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reading a request that crosses an idle close. A caller may send a request
// again, of whatever kind, if the connection ends before the request was read.
func TestNothingIsReadAfterIdleClose(t *testing.T) {
	is := is.New(t)
	reads := make(chan struct{}, 8)
	server := NewServer(stubHandler{handle: echo}, noLimits)
	_, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		return readHook{far, func() { reads <- struct{}{} }}
	})
	<-reads // waits for the first request
	server.CloseIdle()
	<-ended
	is.Equal(len(reads), 0) // whatever arrives after the close stays unread
}

// Guards against an idle close that destroys the end of the last response, because a
// request that crosses the close resets a connection with unsent bytes.
func TestIdleCloseKeepsTheLastResponse(t *testing.T) {
	is := is.New(t)
	reads := make(chan struct{}, 8)
	server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
		return &Response{Status: 200, Body: bytes.Repeat([]byte("a"), 512<<10)}
	}}, noLimits)
	c, ended := serveTCP(t, server, func(far *net.TCPConn) net.Conn {
		is.NoErr(far.SetWriteBuffer(2 << 20)) // takes the response without its caller
		return readHook{far, func() { reads <- struct{}{} }}
	})
	is.NoErr(c.SetReadBuffer(64 << 10))
	send(c, getOne)
	<-reads // the first request
	<-reads // waits for the second one
	for closed := false; !closed; {
		server.CloseIdle() // has no effect until the response has been written
		select {
		case <-reads:
			closed = true // lingers
		case <-ended:
			closed = true
		case <-time.After(time.Millisecond):
		}
	}
	_, _ = c.Write([]byte(getTwo)) // may fail if the connection has been reset
	_, body := readResponse(t, bufio.NewReader(c))
	is.Equal(len(body), 512<<10)
}
