package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AwaitHangup waits until the peer has closed its sending side or has reset the connection,
// and then returns true. It reads nothing, and returns false when the read deadline passes
// or if c is not a socket.
func AwaitHangup(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(fd uintptr) bool { // is called again whenever the state of the socket has changed
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		return err == nil && n > 0
	})
	return err == nil
}
