package soak

import (
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections whose process is not found, so that a cut leaves them alone.
func TestProcessSockets(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	near, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer near.Close()
	far, err := listener.Accept()
	is.NoErr(err)
	defer far.Close()

	s := newProcessSockets()
	is.Equal(s.Source(far.RemoteAddr(), far.LocalAddr()), "")
	s.add(os.Getpid(), "domain-1")
	is.Equal(s.Source(far.RemoteAddr(), far.LocalAddr()), "domain-1")
}
