package wire

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Attempt tracks one request in an http.Transport that dials with Dialer. The zero value
// is ready to use, for one request only.
type Attempt struct {
	conn atomic.Pointer[Conn]
	// untracked is set if the request got a connection of another type, or more than one
	// connection.
	untracked atomic.Bool
}

// Context returns the context to send the request with. It also starts the check of the
// response's head (see Conn): without it only the first response of a connection is checked.
func (a *Attempt) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, a.trace())
}

func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		a.untracked.Store(true)
		return
	}
	conn.begin()
	if a.conn.Swap(conn) != nil {
		a.untracked.Store(true)
	}
}

// Written reports whether a byte of the request may have been written. If it returns
// false, no byte will be written later either, because the connection is sealed. It
// must be called only after the request has failed.
func (a *Attempt) Written() bool {
	if a.untracked.Load() {
		return true
	}
	conn := a.conn.Load()
	return conn != nil && !conn.seal()
}
