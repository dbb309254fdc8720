package callerhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzConnection guards against input that blocks the server, makes it panic, or makes
// it run more requests than a strict parser finds.
func FuzzConnection(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Fuzz(func(t *testing.T, input []byte) {
		ran := make(chan struct{}, 1024)
		server := NewServer(stubHandler{handle: func(ctx context.Context, r *http.Request) *Response {
			select {
			case ran <- struct{}{}:
			default:
			}
			return echo(ctx, r)
		}}, func() Limits {
			return Limits{HeaderBytes: 4096, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		})
		near, far := net.Pipe()
		ctx, cancel := context.WithCancelCause(context.Background())
		c := newConn(server, far, ctx, cancel)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.serve()
		}()
		go func() {
			_, _ = near.Write(input) // the server may close the connection first
			_ = near.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		}()
		_, _ = io.Copy(io.Discard, near) // until the server closes, or the deadline passes while it waits for a body
		_ = near.Close()
		<-done
		if most := bytes.Count(input, []byte("HTTP/1.")); len(ran) > most {
			t.Errorf("%d requests were executed, but at most %d were sent", len(ran), most)
		}
	})
}
