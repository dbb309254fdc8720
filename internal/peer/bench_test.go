package peer

import (
	"context"
	"io"
	"net"
	"testing"
)

// BenchmarkForward measures one forwarded request with a 64-byte response over
// loopback, client and server together.
func BenchmarkForward(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(Handlers{Requests: handlerFunc(echo)}, noopMeter{}).Serve(ctx, listener)
	}()
	pool := NewPool()
	client := NewClient(pool, noopMeter{})
	r, body := newRequest("id-1", 63)
	r.Buffered = body
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Forward(ctx, listener.Addr().String(), r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
	_ = pool.Close()
	cancel()
	<-done
}
