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
// request that crosses the close resets a connection with unsent bytes; and against closing a
// connection as idle whose caller has not taken that response, so that the request is lost.
func TestIdleCloseKeepsTheLastResponse(t *testing.T) {
	is := is.New(t)
	reads := make(chan struct{}, 8)
	server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
		if r.URL.Path == "/2" {
			return echo(ctx, r)
		}
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
	for server.RequestsInProgress() > 0 {
		time.Sleep(time.Millisecond) // until the response has been written
	}
	server.StartDraining()
	for range 100 {
		server.CloseIdle() // has no effect: the caller has not taken the response
		select {
		case <-reads:
			t.Fatal("the connection was closed")
		case <-ended:
			t.Fatal("the connection was closed")
		case <-time.After(time.Millisecond):
		}
	}
	_, _ = c.Write([]byte(getTwo)) // may fail if the connection has been reset
	r := bufio.NewReader(c)
	response, body := readResponse(t, r)
	is.Equal(len(body), 512<<10)
	is.True(!response.Close)
	response, body = readResponse(t, r)
	is.Equal(body, "/2:")
	is.True(response.Close)
	is.NoErr(c.Close())
	<-ended
}
