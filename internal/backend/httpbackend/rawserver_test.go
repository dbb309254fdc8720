package httpbackend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// rawServer is an HTTP server that responds to the first requests of each
// connection and then closes it. It counts how often it received each request ID.
type rawServer struct {
	listener net.Listener
	// perConnection is the number of responses on one connection.
	perConnection int
	// readNext makes the server read one more request before it closes the connection.
	readNext bool

	conns sync.WaitGroup
	mu    sync.Mutex
	seen  map[string]int
}

func startRaw(t *testing.T, perConnection int, readNext bool) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener, perConnection: perConnection, readNext: readNext, seen: map[string]int{}}
	s.conns.Go(s.accept)
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serve(conn) })
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range s.perConnection {
		id, ok := s.read(reader)
		if !ok {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", backend.HeaderRequestID, id)
	}
	if s.readNext {
		s.read(reader)
	}
}

func (s *rawServer) read(reader *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	id := r.Header.Get(backend.HeaderRequestID)
	s.mu.Lock()
	s.seen[id]++
	s.mu.Unlock()
	_, err = io.Copy(io.Discard, r.Body)
	return id, err == nil
}

// stop waits until all connections have ended and returns how often each ID was received.
func (s *rawServer) stop() map[string]int {
	_ = s.listener.Close()
	s.conns.Wait()
	return s.seen
}
