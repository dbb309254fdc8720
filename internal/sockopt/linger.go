package sockopt

import "net"

// lingerSetter is a connection whose close can be made a reset, or one in order.
type lingerSetter interface {
	SetLinger(seconds int) error
}

// SetLinger sets what the close of a connection does, as (*net.TCPConn).SetLinger describes. It
// does nothing if c has no such option. An error has no consequence, as c is to be closed.
func SetLinger(c net.Conn, seconds int) {
	if l, ok := c.(lingerSetter); ok {
		_ = l.SetLinger(seconds)
	}
}
