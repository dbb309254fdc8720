package connbound

import (
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// activeAt is when bytes were last read or written, in nanoseconds after the start of the
	// listener.
	activeAt atomic.Int64
	counted  atomic.Bool
}

func (c *Conn) active() {
	c.activeAt.Store(int64(time.Since(c.listener.start)))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.active()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.active()
	}
	return n, err
}

// Admit takes the connection out of the bound: it is not closed in favour of another one.
func (c *Conn) Admit() {
	if c.counted.Swap(false) {
		c.listener.conns.Delete(c)
		c.listener.count.Add(-1)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Admit()
	return c.Conn.Close()
}
