package servers

import "net"

// conn is one tracked connection.
type conn struct {
	*net.TCPConn
	listener *listener
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// reset closes the connection with a TCP reset, as the kernel does when a process ends.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}
