package forward

import (
	"context"
	"io"
)

// closeBody ends the request's context when the answer's body is closed.
type closeBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body, then the context under which it was read.
func (b *closeBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
