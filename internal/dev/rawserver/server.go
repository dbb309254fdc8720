// Package rawserver is a backend server stand-in that answers requests with given bytes,
// whether or not they are a response.
package rawserver

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// FloodLimit is a limit for responses that the client may keep in memory. It exceeds
	// what the buffers of a loopback connection hold.
	FloodLimit = 64 << 20
	// NoFloodLimit is for responses that are passed on as they arrive.
	NoFloodLimit = math.MaxInt64
)

const (
	// eventTimeout ends a test that waits for an event in vain.
	eventTimeout = 30 * time.Second
	blockBytes   = 64 << 10
)

// Server is a running server. It serves one request on each connection.
type Server struct {
	listener  net.Listener
	responses []Response
	limit     int64
	accepted  int
	requests  chan string
	closed    chan struct{}
	flooded   atomic.Bool
}

// Start starts a server that runs until the end of the test. The first connection gets
// the first response, and so on; the last one repeats. It sends at most limit bytes of the
// units of a response.
func Start(t testing.TB, limit int64, responses ...Response) *Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &Server{listener: listener, responses: responses, limit: limit, requests: make(chan string, 16), closed: make(chan struct{}, 16)}
	go s.accept()
	return s
}

// Address returns the host and port of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Requests returns a channel that gets the path of each request once it has been read.
func (s *Server) Requests() <-chan string {
	return s.requests
}

// AwaitClose waits until the client has closed a connection. It fails the test if the
// client has read the response up to the limit instead.
func (s *Server) AwaitClose(t testing.TB) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(eventTimeout):
		t.Fatal("the connection to the server is still open")
	}
	if s.flooded.Load() {
		t.Fatal("the client has read an endless response up to the limit")
	}
}

func (s *Server) accept() {
	for ; ; s.accepted++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c, s.responses[min(s.accepted, len(s.responses)-1)])
	}
}

func (s *Server) serve(c net.Conn, response Response) {
	defer func() { s.closed <- struct{}{} }()
	defer c.Close()
	r := bufio.NewReader(c)
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // a failure shows at the write
	s.requests <- request.URL.Path
	_, err = io.WriteString(c, response.Start)
	block := strings.Repeat(response.Unit, blockBytes/max(1, len(response.Unit)))
	for sent := int64(0); block != "" && err == nil; sent += int64(len(block)) {
		if sent > s.limit {
			s.flooded.Store(true)
			return
		}
		_, err = io.WriteString(c, block)
	}
	_, _ = r.ReadByte() // returns when the client has closed the connection
}
