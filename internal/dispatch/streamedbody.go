package dispatch

import (
	"io"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/progress"
)

// streamedBody is the body of a response that is too large to be buffered. The slot,
// the key range and the connection are released at its end or by Close.
type streamedBody struct {
	reader *progress.Reader
	source io.Closer
	// release is called once, with nil after a complete body, else with the reason why
	// it is incomplete.
	release func(error)
	ended   atomic.Bool
	// onEnd is the callback of setOnEnd. It is called after release.
	onEnd atomic.Pointer[func(error)]
}

// setOnEnd sets a function that is called at the end of the body. It must be set
// before the body is passed to its reader.
func (b *streamedBody) setOnEnd(f func(error)) {
	b.onEnd.Store(&f)
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.finish(nil)
	case err != nil:
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer. Closing before the end abandons the response.
func (b *streamedBody) Close() error {
	b.finish(errClosed)
	return nil
}

func (b *streamedBody) finish(err error) {
	if b.ended.Swap(true) {
		return
	}
	b.reader.Stop()
	b.release(err)
	_ = b.source.Close() // the response has ended, so an error on closing does not matter
	if f := b.onEnd.Load(); f != nil {
		(*f)(err)
	}
}
