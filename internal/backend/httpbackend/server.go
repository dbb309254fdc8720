// Package httpbackend is the client of one backend server over HTTP/1.1.
// docs/interface.md describes the calls.
package httpbackend

import (
	"net"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// controlConnections carry grants, drains, health and load. They are kept apart
// from requests, so that a renewal never waits for a request to end.
const controlConnections = 2

// dialTimeout bounds the time to connect; a new connection takes about 1 ms.
const dialTimeout = 500 * time.Millisecond

// continueTimeout is how long a streamed body waits for the server's consent.
// RFC 9110, section 10.1.1, obliges the server to answer; one that does not
// delays uploads by this time.
const continueTimeout = time.Second

// Server is a backend.Server over HTTP. It never sends a request twice.
type Server struct {
	name     string
	address  string
	requests *http.Transport
	control  *http.Transport
}

// New returns a client of the server called name at address (host:port). It
// opens at most connections connections, of which two are for control; at least
// one carries requests. A connection carries one request at a time.
func New(name, address string, connections int) *Server {
	return &Server{
		name:     name,
		address:  address,
		requests: newTransport(max(1, connections-controlConnections)),
		control:  newTransport(controlConnections),
	}
}

func newTransport(connections int) *http.Transport {
	dialer := &wire.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
		// Without a wait net/http sends the body at once.
		ExpectContinueTimeout: continueTimeout,
	}
}

// Name returns the name of the server in the settings.
func (s *Server) Name() string {
	return s.name
}

// Close implements backend.Server.
func (s *Server) Close() {
	s.requests.CloseIdleConnections()
	s.control.CloseIdleConnections()
}

var _ backend.Server = (*Server)(nil)
