// Package httpbackend implements backend.Server over HTTP/1.1.
// docs/interface.md describes the calls.
package httpbackend

import (
	"net"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// controlConnections is the number of connections reserved for grants, drains,
// health and load. Because of them the renewal of a grant never waits for a
// request to end.
const controlConnections = 2

// dialTimeout limits the time to connect. A new connection usually takes about 1 ms.
const dialTimeout = 500 * time.Millisecond

// continueTimeout is how long a streamed body waits for "100 Continue". RFC 9110,
// section 10.1.1, requires the server to respond; a server that does not
// delays each upload by this time.
const continueTimeout = time.Second

// maxHeadBytes limits the head of a response, together with the interim responses before
// it. It is far above the heads that servers send and keeps many malformed ones at a time
// within the memory of a small instance.
const maxHeadBytes = 256 << 10

// Server is the HTTP client of one backend server. It never sends a request twice.
type Server struct {
	name     string
	address  string
	requests *http.Transport
	control  *http.Transport
}

// New returns a client of the server with the given name and address
// (host:port). The parameter connections limits the total number of connections.
// Two of them are reserved for control calls, and at least one carries requests.
// A connection carries one request at a time.
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

		MaxResponseHeaderBytes: maxHeadBytes,
		// With 0 net/http would send the body immediately.
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
