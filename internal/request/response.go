package request

import (
	"io"
	"net/textproto"
)

// Response is the response of a backend server. The receiver must close Body.
type Response struct {
	RequestID string
	Status    int
	Header    textproto.MIMEHeader
	// ContentLength is the announced body length in bytes, or -1 if unknown.
	ContentLength int64
	// Body returns io.ErrUnexpectedEOF when the response is truncated.
	Body io.ReadCloser
	// Server is the backend server that ran the request.
	Server string
	// Holder is the instance that dispatched the request.
	Holder string
	// Replayed reports whether the response was read from the request record.
	Replayed bool
}
