package callerhttp

import (
	"io"

	"github.com/pkg/errors"
)

// receivedBody calls onEnd once the rest of a response has been received to its end.
type receivedBody struct {
	io.ReadCloser
	onEnd func()
}

// Read implements io.Reader. It is called by one goroutine.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.onEnd != nil {
		b.onEnd()
		b.onEnd = nil
	}
	return n, err
}
