package callerhttp

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

var errBrokenOff = errors.New("an earlier response on the connection was not completed")

// respond writes the response once the previous one has been written, and then closes
// done. A response with status 0 closes the connection instead. If closing is set, or the
// connection is to end for another reason, the last response announces the close.
func (c *conn) respond(response *Response, previous, done chan struct{}, closing bool) {
	defer close(done)
	defer c.finishRequest()
	defer response.release()
	if response.Remainder != nil {
		ahead := newReadAhead(response.Remainder, c.holding)
		response.Remainder = ahead
		defer ahead.release()
		defer response.Remainder.Close()
		defer context.AfterFunc(c.ctx, func() { _ = response.Remainder.Close() })() // the caller gets no more of it
	}
	<-previous
	if c.broken.Load() {
		response.reportUnwritten(errBrokenOff)
		return
	}
	if response.Status == 0 {
		c.breakOff(errBrokenOff)
		return
	}
	closing = closing || c.server.draining.Load() || c.requests.ends()
	last := closing && c.requests.seal() == 1
	if err := c.write(response, last); err != nil {
		c.breakOff(fmt.Errorf("%w: %w", errBrokenOff, err))
		response.reportUnwritten(err)
	}
}

func (c *conn) write(response *Response, closing bool) error {
	out := callerWriter{Writer: newProgressWriter(c.net, c.holding.Progress), waits: &c.callerWaits}
	if response.Remainder != nil && response.Length < 0 {
		return writeChunks(out, response, closing)
	}
	if _, err := out.Write(append(response.head(closing), response.Body...)); err != nil || response.Remainder == nil {
		return errors.Wrap(err, "write response")
	}
	start := int64(len(response.Body))
	response.release()
	n, err := io.Copy(out, response.Remainder)
	if err == nil && start+n != response.Length {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "stream response body")
}
