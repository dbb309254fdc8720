package sockopt

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a reset that looks like the end of a stream once a write has been told of
// it, and against an end in order that counts as a reset.
func TestWasReset(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "end in order": false} {
		t.Run(name, func(t *testing.T) {
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
			is.True(!WasReset(near))
			if reset {
				is.NoErr(far.(*net.TCPConn).SetLinger(0))
				is.NoErr(far.Close())
				for err == nil { // until a write has been told
					_, err = near.Write([]byte("a"))
				}
				is.True(isReset(err))
			} else {
				is.NoErr(far.(*net.TCPConn).CloseWrite())
			}
			_, err = near.Read(make([]byte, 1))
			is.Equal(err, io.EOF) // in both cases
			is.Equal(WasReset(near), reset)
		})
	}
	is.New(t).True(!WasReset(nil))
}

func isReset(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && (number == syscall.ECONNRESET || number == syscall.EPIPE)
}
