package httpbackend

import (
	"context"
	"io"
)

// body is the body of a response. Its reads end with io.EOF, or with an error
// that is io.ErrUnexpectedEOF if the body is incomplete.
type body struct {
	content  io.ReadCloser
	cancel   context.CancelFunc
	complete bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.content.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		b.complete = true
	default:
		err = &truncatedBodyError{cause: err}
	}
	return n, err
}

// Close closes the body. The connection is reused only if the body was read to its end.
func (b *body) Close() error {
	if !b.complete {
		b.cancel()
	}
	err := b.content.Close()
	b.cancel()
	return err
}
