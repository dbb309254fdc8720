package backhttp

import (
	"io"
	"net"
	"time"
)

// write writes the complete request.
func (c *conn) write(request *Request) (result writeResult) {
	result.bytes, result.err = c.writeParts(request)
	c.writtenWhole.Store(result.err == nil)
	c.requestWritten.Store(true)
	result.at = time.Now()
	return result
}

func (c *conn) writeParts(request *Request) (int64, error) {
	parts := net.Buffers{request.Head}
	if len(request.Body) > 0 {
		parts = append(parts, request.Body)
	}
	n, err := parts.WriteTo(c.net)
	if err != nil || request.Remainder == nil {
		return n, err
	}
	more, err := io.Copy(c.net, bodySource{request.Remainder})
	return n + more, err
}

// mayStillRespond reports whether the reader goroutine is about to end the exchange although
// the write of the request has failed with err: with a response that has interrupted the
// write, or after a reset by the server with what it sent before, which may be a response.
func (c *conn) mayStillRespond(err error) bool {
	return c.writeInterrupted.Load() || isEndedByPeer(err)
}

// readyForNext reports whether the connection may carry another request after one
// whose write ended with err. It restores the write deadline if complete has changed
// it because the response came before the write had ended.
func (c *conn) readyForNext(err error) bool {
	if err != nil {
		return false
	}
	return !c.writeInterrupted.Swap(false) || c.net.SetWriteDeadline(time.Time{}) == nil
}
