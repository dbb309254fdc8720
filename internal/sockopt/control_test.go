package sockopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against options that the kernel does not have, so that bytes of an abandoned
// request or of a process that was killed are sent again for minutes.
func TestOptionsOfADialedSocket(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialer := net.Dialer{Control: Controls(UserTimeout(800*time.Millisecond), ResetOnClose)}
	c, err := dialer.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.Equal(userTimeoutOf(t, raw), 800)
	is.NoErr(raw.Control(func(fd uintptr) {
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		is.NoErr(err)
		is.Equal(*linger, unix.Linger{Onoff: 1, Linger: 0})
	}))
	is.NoErr(SetUserTimeout(c, 300*time.Millisecond))
	is.Equal(userTimeoutOf(t, raw), 300)
	is.NoErr(SetUserTimeout(c, time.Microsecond)) // 0 would mean minutes
	is.Equal(userTimeoutOf(t, raw), 1)
}

// userTimeoutOf returns TCP_USER_TIMEOUT in milliseconds.
func userTimeoutOf(t *testing.T, raw syscall.RawConn) (milliseconds int) {
	t.Helper()
	err := raw.Control(func(fd uintptr) {
		var err error
		if milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return milliseconds
}
