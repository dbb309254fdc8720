package entrynode

import (
	"context"
	"net"

	"golang.org/x/sys/unix"
)

// arrivalListener accepts connections as arrivalConn.
type arrivalListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l arrivalListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &arrivalConn{TCPConn: accepted.(*net.TCPConn)}
	if c.raw, err = c.SyscallConn(); err != nil {
		return nil, err
	}
	var optionErr error
	err = c.raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) })
	if err == nil {
		err = optionErr
	}
	return c, err
}

// arrivalContextKey is the key of the *arrivalConn in the context of its requests.
type arrivalContextKey struct{}

// withArrivalConn is the ConnContext of a server with an arrivalListener.
func withArrivalConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, arrivalContextKey{}, c)
}
