package wire

import (
	"net/http/httptrace"
	"sync/atomic"
)

// Attempt follows one request through an http.Transport that dials with Dialer.
// Its zero value is ready for use; it serves one request.
type Attempt struct {
	conn atomic.Pointer[Conn]
	// opaque is set when the request got a connection of another type, or more than one.
	opaque atomic.Bool
}

// Trace returns the hooks that the request's context must carry.
func (a *Attempt) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		a.opaque.Store(true)
		return
	}
	conn.begin()
	if a.conn.Swap(conn) != nil {
		a.opaque.Store(true)
	}
}

// Written reports whether a byte of the request may have been written. When it
// returns false, none will be: the connection refuses it from now on. Call it
// only after the request has failed.
func (a *Attempt) Written() bool {
	if a.opaque.Load() {
		return true
	}
	conn := a.conn.Load()
	return conn != nil && !conn.seal()
}
