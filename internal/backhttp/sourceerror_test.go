package backhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a request that waits for its server after its caller has reset the
// connection in the middle of the body, as if the server had.
func TestResetByTheCallerEndsTheRequest(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	pool := newBackendPool(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		defer close(closed)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // never answers; returns when the client closes
	})
	long := newRequest("a")
	long.Method = "POST"
	long.Head = []byte("POST /a HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 1000\r\n\r\n")
	long.Remainder = iotest.ErrReader(syscall.ECONNRESET)
	_, err := pool.Do(t.Context(), long)
	var failure *RequestError
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
	<-closed
}
