// Package wire determines whether any byte of a request was written to its HTTP/1.1
// connection. net/http does not report this exactly: its trace hooks run when bytes
// enter a buffer, and a cancelled request may still be written after its call has
// returned.
package wire

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrSealed is returned by a write to a connection whose request was abandoned before
// any byte of it was written.
var ErrSealed = errors.New("wire: request abandoned before its first byte was written")

// The states of the current request of a connection.
const (
	stateUnwritten int32 = iota
	stateWriting
	stateSealed
)

// Conn tracks the first write of each request. It can be sealed to prevent that write.
type Conn struct {
	net.Conn
	state atomic.Int32
}

// Write marks the request as written. It fails on a sealed connection. If the kernel
// accepts no byte of the first write, as on a connection that the peer has closed, the
// request remains unwritten.
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

// begin resets the state for the next request.
func (c *Conn) begin() {
	c.state.CompareAndSwap(stateWriting, stateUnwritten)
}

// seal reports whether no byte of the request was written, and if so makes all further
// writes fail.
func (c *Conn) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}
