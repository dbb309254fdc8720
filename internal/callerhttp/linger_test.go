package callerhttp

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// halfClosed is a connection that can be written to by its other end after CloseWrite.
type halfClosed struct{ net.Conn }

func (halfClosed) CloseWrite() error { return nil }

// Guards against resetting the connection of a caller who is still sending its body when
// the last response has been written. A reset may destroy the response.
func TestBodyIsDiscardedBehindTheLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: refuse}, noLimits)
		c, r, ended := servePipe(server, func(c net.Conn) net.Conn { return halfClosed{c} })
		send(c, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyDrainBytes+1))
		response, _ := readResponse(t, r)
		is.True(response.Close)
		for range 10 {
			time.Sleep(lingerTimeout * 4 / 5)
			_, err := c.Write([]byte("some of the body"))
			is.NoErr(err)
		}
		<-ended // the caller sends no more
	})
}

// Guards against a caller who keeps a connection for ever by sending behind the last response.
func TestLingeringEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(stubHandler{handle: refuse}, noLimits)
		c, r, ended := servePipe(server, func(c net.Conn) net.Conn { return halfClosed{c} })
		send(c, "GET /1 HTTP/1.0\r\n\r\n")
		readResponse(t, r)
		for {
			time.Sleep(lingerTimeout / 2)
			if _, err := c.Write([]byte("a")); err != nil {
				break
			}
		}
		<-ended
	})
}
