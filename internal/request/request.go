// Package request holds the request and answer that pass through the system,
// free of any encoding.
package request

import (
	"io"
	"net/textproto"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Request is one request of a caller. Every field except Body is immutable once
// the entry has built it.
type Request struct {
	ID         string // UUID version 7
	Service    string
	Key        string
	KeyHash    key.Hash
	Method     string
	Path       string // path and query below /{service}/{key}
	Header     textproto.MIMEHeader
	Idempotent bool
	// Deadline is when the caller gives up, on the local monotonic clock.
	Deadline time.Time
	// ContentLength is the announced body length in bytes, or -1 when unknown.
	ContentLength int64
	// Buffered is the whole body when it fits into the entry's buffer; then Body is nil.
	Buffered []byte
	// Body streams a body that is too large to hold in memory.
	Body io.Reader
	// Digest covers method, path, announced length and the start of the body.
	Digest uint64
	// Entry is the name of the instance that admitted the request.
	Entry string
	// Attempt counts the entry's forwards of this request, from 1.
	Attempt int
	// TraceParent is the W3C trace context of the caller's or previous hop's span.
	TraceParent string
}

// Streamed reports whether the body can be read only once.
func (r *Request) Streamed() bool {
	return r.Body != nil
}
