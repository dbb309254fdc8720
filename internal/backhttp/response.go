package backhttp

import (
	"io"
	"net/http"
	"time"
)

// Response is a complete response, or the start of one that is too long to buffer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder streams the part of a long body that follows Body; it is nil when Body
	// is the complete body. The receiver must close it. It returns io.ErrUnexpectedEOF
	// when the response is truncated, and an error when the context of the request ends.
	Remainder io.ReadCloser
	// Length is the length of the complete body in bytes, or -1 when unknown.
	Length int64
	// BodyOmitted is set if the response has no body because of its status or because it
	// answers HEAD. Length is then what the server states.
	BodyOmitted bool
	// Closing is set if the server has said that it closes the connection after the response.
	Closing bool
	// WrittenAt is when the write of the request ended.
	WrittenAt time.Time
	// release gives back the memory that the response has reserved, or is nil.
	release func()
}

// accepts reports whether a server that has sent this response before it had read the request
// needs the rest. That holds also if it closes the connection afterwards: it may announce the
// close, read on and close only then (RFC 9112, section 9.6). After another response the rest is
// of no use.
func (r *Response) accepts() bool {
	return r.Status/100 == 2
}

// Release must be called once the response is no longer used. It may be called again.
func (r *Response) Release() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}
