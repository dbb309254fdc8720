package callerhttp

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// continueFunc returns a function that sends the interim response 100 Continue, or nil
// if the caller does not expect one. It waits for the previous response.
func (c *conn) continueFunc(request *http.Request, previous chan struct{}) func() {
	if !strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		return nil
	}
	return func() {
		<-previous
		_, _ = newProgressWriter(c.net, c.holding.Progress).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read that follows reports a failure
	}
}

// drainBody waits until the handler has finished with the body, and discards what it
// left unread. It reports whether another request may follow.
func (c *conn) drainBody(incoming *body, done chan struct{}) bool {
	select {
	case <-incoming.done:
	case <-done:
	}
	incoming.finish(false)
	<-incoming.done
	if incoming.complete {
		return true
	}
	if !incoming.drainable() {
		return false
	}
	c.setReadDeadline(time.Now().Add(bodyDrainTimeout))
	_, err := io.CopyN(io.Discard, incoming.Reader, bodyDrainBytes)
	return errors.Is(err, io.EOF)
}
