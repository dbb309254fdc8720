package request

import (
	"io"
	"net/textproto"
)

// Response is the answer of a backend server. The receiver closes Body.
type Response struct {
	RequestID string
	Status    int
	Header    textproto.MIMEHeader
	// ContentLength is the announced body length in bytes, or -1 when unknown.
	ContentLength int64
	// Body returns io.ErrUnexpectedEOF when the answer ends before it is whole.
	Body io.ReadCloser
	// Server is the backend server that ran the request.
	Server string
	// Holder is the instance that dispatched the request.
	Holder string
	// Replayed reports whether the answer comes from the request record.
	Replayed bool
}
