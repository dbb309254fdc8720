package sockopt

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against counts that do not follow what the peer has read and acknowledged.
func TestUnreadAndUnacknowledgedBytes(t *testing.T) {
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

	is.True(!HasUnread(far))
	_, err = near.Write([]byte("a"))
	is.NoErr(err)
	raw, err := far.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Read(func(uintptr) bool { return HasUnread(far) })) // until the byte has arrived
	_, err = far.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!HasUnread(far))

	for Unacknowledged(near) == 0 { // until the peer's receive buffer is full
		_, err = near.Write(make([]byte, 64<<10))
		is.NoErr(err)
	}
	is.Equal(Unacknowledged(nil), 0)
	is.True(!HasUnread(nil))
}
