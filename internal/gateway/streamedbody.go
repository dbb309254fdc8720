package gateway

import (
	"context"
	"io"
)

// streamedBody is the remainder of a long response. It is read after the call has been
// handled, so the context that bounds the call ends only when it is closed.
type streamedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the stream and the context of the call.
func (b *streamedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
