package backhttp

import (
	"io"
	"net/http"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Head holds the request line and headers with the empty line that ends them.
	Head []byte
	// Body is the part of the body held in memory.
	Body []byte
	// Remainder streams what follows Body, or is nil. It is already framed as the head announces.
	Remainder io.Reader
	// Matches reports whether an answer belongs to this request. Another answer is discarded.
	Matches func(http.Header) bool
}
