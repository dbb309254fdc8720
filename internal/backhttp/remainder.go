package backhttp

import (
	"io"
	"sync"
)

// remainder streams the rest of a long response body and tells the reader goroutine
// when the receiver has closed it.
type remainder struct {
	io.Reader
	conn     *conn
	exchange *exchange
	closed   chan struct{}
	once     sync.Once
}

// newRemainder returns the remainder of the response to the exchange. The end of a success
// waits for the request (exchange.confirm).
func newRemainder(body io.Reader, c *conn, x *exchange, accepted bool) *remainder {
	r := &remainder{Reader: body, conn: c, exchange: x, closed: make(chan struct{})}
	if accepted {
		r.Reader = &heldBack{source: body, confirm: x.confirm}
	}
	return r
}

// Close ends the connection, unless the rest of the request is due to the server after a success
// that was read to its end. When it returns, nothing reads the body of the request any more.
func (r *remainder) Close() error {
	r.once.Do(func() { close(r.closed) })
	if !r.exchange.answered.Load() {
		r.conn.abort()
	}
	if t := r.exchange.transfer; t != nil && r.exchange.request.Remainder != nil {
		<-t.written
	}
	return nil
}
