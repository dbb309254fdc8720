package backhttp

import (
	"io"
	"net/http"
)

// Response is a whole answer, or its start when it is too long to hold in memory.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder streams what follows Body of a long answer, or is nil. The receiver
	// closes it. It returns io.ErrUnexpectedEOF when the answer ends early.
	Remainder io.ReadCloser
	// Length is the length of a long answer in bytes, or -1 when unknown.
	Length int64
}
