package dispatch

import (
	"bytes"
)

// wholeBody is the body of an answer that was read to its end.
type wholeBody struct {
	bytes.Reader
	bytes []byte
}

func newWholeBody(content []byte) *wholeBody {
	b := &wholeBody{bytes: content}
	b.Reset(content)
	return b
}

// Close implements io.Closer.
func (b *wholeBody) Close() error {
	return nil
}
