package backhttp

import (
	"io"
	"net/http"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Head is the request line and the headers, including the empty line at their end.
	Head []byte
	// Body is the buffered start of the body.
	Body []byte
	// Remainder streams the part of the body that follows Body, or is nil. It is already
	// encoded as announced in Head.
	Remainder io.Reader
	// FreshConnection is set if the request must not go over a connection that has carried
	// another one: a response to that could not be told from the response to this one.
	FreshConnection bool
	// AwaitReset makes a new connection wait for a moment before the request is written: a
	// server that takes no more connections accepts one and resets it at once. If that came
	// after the request, nobody could tell whether it was run.
	AwaitReset bool
	// Match reports whether a response with these headers belongs to this request.
	Match func(http.Header) Match
}
