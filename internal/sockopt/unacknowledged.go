package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a TCP connection and have
// not been acknowledged by its peer, or 0 if that is not known.
func Unacknowledged(c net.Conn) int {
	source, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) // 0 on an error
	})
	if err != nil {
		return 0
	}
	return n
}
