package callerhttp

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// respond writes the response once the previous one has been written, and then closes
// done. A response with status 0 closes the connection instead.
func (c *conn) respond(response *Response, previous, done chan struct{}, closing bool) {
	defer close(done)
	defer c.activeRequests.Add(-1)
	<-previous
	if response.Remainder != nil {
		defer response.Remainder.Close()
	}
	if c.closing.Load() || response.Status == 0 {
		c.closing.Store(true)
		c.interruptRead()
		return
	}
	closing = closing || c.server.draining.Load()
	if closing {
		c.closing.Store(true)
	}
	if err := c.write(response, closing); err != nil {
		c.closing.Store(true)
		c.cancel()
		if response.OnWriteError != nil {
			response.OnWriteError(err)
		}
	}
	if c.closing.Load() {
		c.interruptRead()
	}
}

// interruptRead ends a pending read of the goroutine that reads requests.
func (c *conn) interruptRead() {
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) write(response *Response, closing bool) error {
	w := responseWriter{c.net}
	out := append(response.head(closing), response.Body...)
	if response.Remainder == nil || response.Length >= 0 {
		if _, err := w.Write(out); err != nil || response.Remainder == nil {
			return errors.Wrap(err, "write response")
		}
		n, err := io.Copy(w, response.Remainder)
		if err == nil && n+int64(len(response.Body)) != response.Length {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "stream response body")
	}
	return writeChunks(w, response, closing)
}

// closeIdle closes the connection if no request is in progress.
func (c *conn) closeIdle() {
	if c.idle.Load() && c.activeRequests.Load() == 0 {
		c.closing.Store(true)
		c.interruptRead()
	}
}

// linger waits until the caller closes the connection. Closing a connection with
// unread bytes would reset it, and the caller could lose the last response.
func (c *conn) linger() {
	if !c.closing.Load() {
		return
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.net) // anything received now is ignored
}
