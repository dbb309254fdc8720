package callerhttp

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
)

// silentBody is a response body of which nothing arrives until it is closed.
type silentBody struct {
	once   sync.Once
	closed chan struct{}
}

func (s *silentBody) Read([]byte) (int, error) {
	<-s.closed
	return 0, io.ErrClosedPipe
}

func (s *silentBody) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Guards against a server that goes on with a response whose caller has disconnected,
// because it sends nothing whose writing would fail.
func TestDisconnectClosesStreamedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
			return &Response{Status: 200, Remainder: &silentBody{closed: make(chan struct{})}, Length: -1}
		}}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne)
		if _, err := r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, r) }()
		synctest.Wait()
		c.Close()
		<-ended // a deadlock if the body is not closed
	})
}
