package sockopt

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control that makes the kernel close connections on which sent
// data stays unacknowledged for the timeout.
func UserTimeout(timeout time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, milliseconds(timeout))
	}
}

// SetUserTimeout changes the timeout that UserTimeout sets, on an open connection. It does
// nothing if c is not a socket.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	return setUserTimeoutOf(c, milliseconds(timeout))
}

// ClearUserTimeout makes the kernel use its own limit of several minutes for an open connection,
// which does not count while a living peer's window is closed. It does nothing if c is not a
// socket.
func ClearUserTimeout(c net.Conn) error {
	return setUserTimeoutOf(c, 0)
}

// milliseconds returns a timeout of at least 1 ms: 0 stands for the kernel's own limit.
func milliseconds(timeout time.Duration) int {
	return max(1, int(timeout.Milliseconds()))
}

func setUserTimeoutOf(c net.Conn, ms int) error {
	source, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return setUserTimeout(raw, ms)
}

func setUserTimeout(raw syscall.RawConn, ms int) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
	if err == nil {
		err = failure
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}
