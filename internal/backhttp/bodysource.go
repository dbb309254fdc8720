package backhttp

import (
	"io"

	"github.com/pkg/errors"
)

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
