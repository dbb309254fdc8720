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

// rawServer answers the first requests of each connection and then closes it.
// It notes each request ID of which it received the header.
type rawServer struct {
	listener net.Listener
	// perConnection is how many requests of a connection are answered.
	perConnection int
	// readNext makes the server read one more request before it closes.
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

// stop waits for all connections to end and returns how often each ID was received.
func (s *rawServer) stop() map[string]int {
	_ = s.listener.Close()
	s.conns.Wait()
	return s.seen
}
