package callerhttp

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// respond writes the respond after the previous one.
func (c *conn) respond(a *Response, previous, done chan struct{}, closing bool) {
	defer close(done)
	defer c.activeRequests.Add(-1)
	<-previous
	if a.Remainder != nil {
		defer a.Remainder.Close()
	}
	if c.closing.Load() || a.Status == 0 {
		c.closing.Store(true)
		c.interruptRead()
		return
	}
	closing = closing || c.server.draining.Load()
	if closing {
		c.closing.Store(true)
	}
	if err := c.write(a, closing); err != nil {
		c.closing.Store(true)
		c.cancel()
		if a.OnWriteError != nil {
			a.OnWriteError(err)
		}
	}
	if c.closing.Load() {
		c.interruptRead()
	}
}

// interruptRead ends the wait of the reading goroutine.
func (c *conn) interruptRead() {
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) write(a *Response, closing bool) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := append(a.encodeHead(closing), a.Body...)
	if a.Remainder == nil || a.Length >= 0 {
		if _, err := c.net.Write(out); err != nil || a.Remainder == nil {
			return errors.Wrap(err, "write the answer")
		}
		n, err := io.Copy(c.net, a.Remainder)
		if err == nil && n+int64(len(a.Body)) != a.Length {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "pass on a long answer")
	}
	return c.writeChunks(a, closing)
}

// closeIdle ends the connection if no request is under way.
func (c *conn) closeIdle() {
	if c.idle.Load() && c.activeRequests.Load() == 0 {
		c.closing.Store(true)
		c.interruptRead()
	}
}

// linger waits for the caller's close, since closing with unread bytes would
// reset the connection and take the last answer along.
func (c *conn) linger() {
	if !c.closing.Load() {
		return
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.net) // whatever comes belongs to no request
}
