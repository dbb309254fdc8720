package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that has ended on both sides (TCP_CLOSE of the
// kernel). That is the state after a reset, but not while this side is open and the peer has
// ended its own side in order.
const tcpClose = 7

// WasReset reports whether a TCP connection that this side has not closed was reset. The
// kernel reports a reset to one system call only: if that is a write, a read returns the end
// of the stream as if the peer had ended it in order. A connection that the peer has reset
// after it had ended its side in order counts as reset. It is false if c is no TCP connection.
func WasReset(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	reset := true // the descriptor is closed, or tells nothing
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			reset = info.State == tcpClose
		}
	})
	return err != nil || reset
}
