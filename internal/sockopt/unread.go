package sockopt

import (
	"net"
	"syscall"
)

// HasUnread reports whether the connection has received bytes that have not been read. It
// does not wait, and it does not depend on the read deadline.
func HasUnread(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means that there is nothing to read
	})
	return err == nil && n > 0
}
