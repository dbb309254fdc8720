package callerhttp

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// respond writes the response once the previous one has been written, and then closes
// done. A response with status 0 closes the connection instead. If closing is set, or no
// further request is accepted, the last response announces the close.
func (c *conn) respond(response *Response, previous, done chan struct{}, closing bool) {
	defer close(done)
	defer c.finishRequest()
	<-previous
	if response.Remainder != nil {
		defer response.Remainder.Close()
	}
	if c.broken.Load() || response.Status == 0 {
		c.breakOff()
		return
	}
	closing = closing || c.server.draining.Load() || c.requests.sealed()
	last := closing && c.requests.seal() == 1
	if err := c.write(response, last); err != nil {
		c.breakOff()
		c.cancel()
		if response.OnWriteError != nil {
			response.OnWriteError(err)
		}
	}
}

// finishRequest ends a request in progress. After the last one of the connection nothing
// more is read.
func (c *conn) finishRequest() {
	if c.requests.finish() {
		c.stopReading()
	}
}

// breakOff ends the connection after a response that is incomplete or missing.
func (c *conn) breakOff() {
	c.broken.Store(true)
	c.requests.seal()
	c.stopReading()
}

// stopReading ends the reading of requests.
func (c *conn) stopReading() {
	c.ending.Store(true)
	c.interruptRead()
}

// interruptRead ends a pending read of the goroutine that reads requests.
func (c *conn) interruptRead() {
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) write(response *Response, closing bool) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := append(response.head(closing), response.Body...)
	if response.Remainder == nil || response.Length >= 0 {
		if _, err := c.net.Write(out); err != nil || response.Remainder == nil {
			return errors.Wrap(err, "write response")
		}
		n, err := io.Copy(c.net, response.Remainder)
		if err == nil && n+int64(len(response.Body)) != response.Length {
			err = io.ErrUnexpectedEOF
		}
		return errors.Wrap(err, "stream response body")
	}
	return c.writeChunks(response, closing)
}

// closeIdle closes the connection if no request is in progress.
func (c *conn) closeIdle() {
	if c.idle.Load() && c.requests.seal() == 0 {
		c.stopReading()
	}
}

// linger waits until the caller closes the connection. Closing a connection with
// unread bytes would reset it, and the caller could lose the last response.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.net) // anything received now is ignored
}
