package backhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// zeroReader yields zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a request that goes on sending its body to a server that answers it with
// bytes without end, and against reporting it as not sent.
func TestEndlessResponseToLongBody(t *testing.T) {
	for name, c := range endlessFailures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.start)
				for block := strings.Repeat(c.unit, 64); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			})
			long := newRequest("a")
			long.Method = "POST"
			long.Head = []byte("POST /a HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 1099511627776\r\n\r\n")
			long.Remainder = io.LimitReader(zeroReader{}, 1<<40)
			_, err := pool.Do(t.Context(), long)
			var failure *RequestError
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
			<-closed
		})
	}
}
