package backhttp

import (
	"io"
	"net/http"

	"peridotmoor.org/peridotmoor/internal/boottime"
)

// Request is one request to a backend server.
type Request struct {
	// ID names the request in reports.
	ID     string
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
	// SendBy is the time from which the request must not be written, or none. Unlike the
	// deadline of the context, it goes on while the machine is suspended.
	SendBy boottime.Instant
	// MayWrite, if set, is asked right before the first byte is written.
	MayWrite func() bool
	// EndWithDeadline makes the kernel, too, give up the delivery of the request at the
	// deadline of the context, so that it ends even if the process is stopped after the write.
	EndWithDeadline bool
	// Match reports whether a response with these headers belongs to this request.
	Match func(http.Header) Match
}

// isLong reports whether the write of the request may take a while.
func (r *Request) isLong() bool {
	return r.Remainder != nil || len(r.Body) > longBodyBytes
}

// hasTransfer reports whether a server may answer the request before it has taken the body. One
// that the kernel must give up in time has nothing to be delivered later.
func (r *Request) hasTransfer() bool {
	return !r.EndWithDeadline && (r.Remainder != nil || len(r.Body) > 0)
}
