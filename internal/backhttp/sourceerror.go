package backhttp

import (
	"io"

	"github.com/pkg/errors"
)

// sourceError is an error of the source of a request's body. It hides its cause, so that a
// reset by the caller is not taken for one by the server.
type sourceError struct {
	cause error
}

// Error returns the cause.
func (e sourceError) Error() string {
	return "read the request body: " + e.cause.Error()
}

// bodySource marks the errors of the source of a body.
type bodySource struct {
	io.Reader
}

// Read implements io.Reader.
func (s bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = sourceError{err}
	}
	return n, err
}
