package backhttp

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against an order whose outcome is unknown because its server, which takes no more
// connections, accepted one and reset it while the order was being written.
func TestResetOfANewConnectionIsAwaited(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	pool := NewPool(listener.Addr().String(), time.Second, membudget.Default())
	defer pool.Close()
	pool.resetWait = time.Minute // ends with the reset, however busy the machine is
	for range 50 {
		_, err = pool.Do(context.Background(), &Request{
			Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"), AwaitReset: true,
			Match: func(http.Header) Match { return MatchProven },
		})
		var requestError *RequestError
		is.True(errors.As(err, &requestError))
		is.True(!requestError.Sent)
	}
}
