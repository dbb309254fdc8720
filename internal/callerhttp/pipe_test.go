package callerhttp

import (
	"bufio"
	"context"
	"net"
	"testing"
)

// servePipe serves one connection over a net.Pipe, so that a test can run in a synctest
// bubble. wrap, when not nil, wraps the server's end. The returned channel is closed when
// the server has closed the connection.
func servePipe(server *Server, wrap func(net.Conn) net.Conn) (net.Conn, *bufio.Reader, chan struct{}) {
	near, far := net.Pipe()
	if wrap != nil {
		far = wrap(far)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c := newConn(server, far, ctx, cancel)
	server.conns.Store(c, nil)
	server.connCount.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.serve()
	}()
	return near, bufio.NewReader(near), ended
}

// send writes text to the connection. The server may end the connection before it has
// read all of it.
func send(c net.Conn, text string) {
	go func() { _, _ = c.Write([]byte(text)) }()
}

// expectEnd fails the test if the server sends another byte before it closes the connection.
func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if b, err := r.ReadByte(); err == nil {
		t.Fatalf("the server sent %q after its last response", b)
	}
}
