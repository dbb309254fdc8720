package forward

import (
	"context"
	"io"
)

// cancelOnClose is a response body that cancels the request's context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and then cancels the context.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
