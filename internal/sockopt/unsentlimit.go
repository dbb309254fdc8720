package sockopt

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// unsentLimit keeps a fast peer busy: the writer is woken when half of it is left, and writes
// 16 KB and more at a time.
const unsentLimit = 64 << 10

// LimitUnsent is a Control that limits the bytes which the kernel takes of a connection before
// it can send them. Without it, a peer that does not read makes the kernel keep several
// megabytes. What is on the way to the peer is not limited.
func LimitUnsent(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentLimit)
	})
	if err == nil {
		err = failure
	}
	return errors.Wrap(err, "set TCP_NOTSENT_LOWAT")
}

// LimitUnsentOf applies LimitUnsent to an accepted connection, which does not have it from its
// listener on every system. It does nothing if c is not a socket.
func LimitUnsentOf(c net.Conn) error {
	source, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_NOTSENT_LOWAT")
	}
	return LimitUnsent("", "", raw)
}
