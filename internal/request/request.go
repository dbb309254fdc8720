// Package request defines the request and the response that pass through the
// system, independent of any encoding.
package request

import (
	"io"
	"net/textproto"
	"time"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Request is a caller's request. Once the entry instance has built it, its fields do not
// change, apart from Body, Attempt and TraceParent at each forward, and Resent at the holder.
type Request struct {
	ID         string // UUID version 7
	Service    string
	Key        string
	KeyHash    key.Hash
	Method     string
	Path       string // path and query below /{service}/{key}
	Header     textproto.MIMEHeader
	Idempotent bool
	// Deadline is when the caller stops waiting, on the local monotonic clock.
	Deadline time.Time
	// ContentLength is the announced body length in bytes, or -1 if unknown.
	ContentLength int64
	// Buffered is the complete body if it fits into the entry instance's buffer; Body is nil then.
	Buffered []byte
	// Body streams a body that is too large to be buffered.
	Body io.Reader
	// Digest is a hash of the method, the path, the announced length and the start of the body.
	Digest uint64
	// Team is the team of the caller, or empty.
	Team string
	// Credential is what the caller has shown. Only the entry instance has it.
	Credential credential.Credential
	// HidesCredential is set if the settings had teams when the entry instance built the request.
	HidesCredential bool
	// Entry is the name of the instance that admitted the request.
	Entry string
	// Attempt is the number of times the entry instance has forwarded this request, from 1.
	Attempt int
	// Resent is set at the holder if the request has been sent to a server before.
	Resent bool
	// TraceParent is the W3C trace context of the caller's or previous hop's span.
	TraceParent string
}

// Streamed reports whether the body can be read only once.
func (r *Request) Streamed() bool {
	return r.Body != nil
}
