package dispatch

import (
	"bytes"
)

// bufferedBody is the body of a response that was read completely before it is
// passed on.
type bufferedBody struct {
	bytes.Reader
	content []byte
}

func newBufferedBody(content []byte) *bufferedBody {
	b := &bufferedBody{content: content}
	b.Reset(content)
	return b
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	return nil
}
