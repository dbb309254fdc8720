package dispatch

import (
	"io"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/progress"
)

// streamedBody is the body of an answer that is too large to hold. Its end, or
// Close, gives back the slot, the range and the connection.
type streamedBody struct {
	reader *progress.Reader
	source io.Closer
	// release is called once with nil for a whole body, else with the reason.
	release func(error)
	ended   atomic.Bool
	// onEnd holds the callback that finish sets; it is called after release.
	onEnd atomic.Pointer[func(error)]
}

// setOnEnd sets a function that is called at the end of the body. It is called
// before the body is handed to the reader.
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

// Close implements io.Closer. Closing before the end abandons the answer.
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
	_ = b.source.Close() // the answer is over; an error on closing changes nothing
	if f := b.onEnd.Load(); f != nil {
		(*f)(err)
	}
}
