// Package wire tells, for each request on an HTTP/1.1 connection, whether any
// byte of it went out. net/http does not report this exactly: its trace hooks
// run when bytes enter a buffer, and a cancelled request may still be written
// after its call has returned.
package wire

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrSealed is the error of a write to a connection whose request was given up unwritten.
var ErrSealed = errors.New("wire: the request was given up before a byte of it was written")

// The states of the request that a connection carries.
const (
	stateUnwritten int32 = iota
	stateWriting
	stateSealed
)

// Conn notes the first write of each request and can be sealed against it.
type Conn struct {
	net.Conn
	state atomic.Int32
}

// Write notes that the request is being written. It fails on a sealed
// connection. A first write of which the kernel took no byte, as on a
// connection that the peer has closed, leaves the request unwritten.
func (c *Conn) Write(content []byte) (int, error) {
	first := c.state.CompareAndSwap(stateUnwritten, stateWriting)
	if !first && c.state.Load() == stateSealed {
		return 0, ErrSealed
	}
	n, err := c.Conn.Write(content)
	if first && n == 0 && err != nil {
		c.state.CompareAndSwap(stateWriting, stateUnwritten)
	}
	return n, err
}

// begin prepares the connection for its next request.
func (c *Conn) begin() {
	c.state.CompareAndSwap(stateWriting, stateUnwritten)
}

// seal reports whether no byte of the request was written, and then lets none
// be written any more.
func (c *Conn) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}
