// Package wire watches the HTTP/1.1 connections of an http.Transport.
//
// It determines whether any byte of a request was written. net/http does not report this
// exactly: its trace hooks run when bytes enter a buffer, and a cancelled request may still
// be written after its call has returned.
//
// It ends a response whose head has a malformed header line, which net/http may accept (see
// package responsehead).
package wire

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/responsehead"
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

// Conn tracks the first write of each request, which it can be sealed to prevent, and checks
// the head of each response.
type Conn struct {
	net.Conn
	state atomic.Int32
	// begun is set when a request has got the connection, so that the next byte starts its
	// response.
	begun atomic.Bool
	// scanner and malformed belong to the reader of the connection. malformed is set once the
	// head of a response is malformed.
	scanner   responsehead.Scanner
	malformed error
}

// Read returns a *responsehead.FieldNameError, and no more bytes, from where a head is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if c.begun.Swap(false) {
		c.scanner = responsehead.Scanner{}
	}
	valid, malformed := c.scanner.Scan(p[:n])
	if malformed != nil {
		c.malformed = malformed
		return valid, malformed
	}
	return n, err
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
	c.begun.Store(true)
	c.state.CompareAndSwap(stateWriting, stateUnwritten)
}

// seal reports whether no byte of the request was written, and if so makes all further
// writes fail.
func (c *Conn) seal() bool {
	return c.state.CompareAndSwap(stateUnwritten, stateSealed) || c.state.Load() == stateSealed
}
