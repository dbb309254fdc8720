package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedBody is how much of a body is buffered in memory so that it can be sent again.
const maxBufferedBody = 512 << 10

// firstBodyBuffer is up to which declared length a body gets its whole buffer at once, and
// minBodyBuffer the least buffer of one that is longer or of unknown length.
const (
	firstBodyBuffer = 16 << 10
	minBodyBuffer   = 2 << 10
)

// Body is the body of a call. Its start is buffered; the remainder of a longer body
// is streamed and can be sent only once.
type Body struct {
	// Buffered is the start of the body after Buffer was called.
	Buffered []byte
	// Remainder streams what follows, or is nil.
	Remainder io.Reader
	// Length is the declared length in bytes, or -1 if it is unknown.
	Length int64
	source io.Reader
}

// NewBody returns the body that is read from source. A nil source is an empty body.
func NewBody(source io.Reader, length int64) *Body {
	return &Body{source: source, Length: length}
}

var (
	errBodyTooLarge = errors.New("request body exceeds the configured size limit; send a smaller body or raise the limit")
	errBodyTimeout  = errors.New("request body was not received before the deadline; send it faster or use a longer timeout")
)

// Buffer reads the start of the body. It fails when that takes until after deadline,
// or when the body is declared to be longer than limit; a limit of 0 means none.
func (b *Body) Buffer(ctx context.Context, deadline time.Time, limit int64) error {
	if b.source == nil {
		return nil
	}
	if limit > 0 && b.Length > limit {
		return errBodyTooLarge
	}
	if d, ok := b.source.(readDeadliner); ok {
		if err := d.SetReadDeadline(deadline); err != nil {
			return errors.Wrap(err, "set the read deadline of the request body")
		}
	}
	whole, err := b.fill()
	switch {
	case err != nil && ctx.Err() == nil && !time.Now().Before(deadline):
		return errBodyTimeout
	case err != nil:
		return errors.Wrap(err, "read the request body")
	case whole:
		return nil
	}
	b.Remainder = b.source
	if limit > 0 {
		b.Remainder = &maxBytesReader{source: b.source, remaining: limit - int64(len(b.Buffered))}
	}
	return nil
}

// fill reads the source into Buffered and reports whether it reached the end. The buffer
// grows as bytes arrive, so that a caller that sends nothing holds nothing, up to
// maxBufferedBody and as far as the source gets memory.
func (b *Body) fill() (whole bool, err error) {
	for {
		if len(b.Buffered) == cap(b.Buffered) && !b.grow() {
			return false, nil
		}
		n, err := b.source.Read(b.Buffered[len(b.Buffered):cap(b.Buffered)])
		b.Buffered = b.Buffered[:len(b.Buffered)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow makes the buffer larger and reports whether it could.
func (b *Body) grow() bool {
	old := cap(b.Buffered)
	size := max(2*old, minBodyBuffer)
	if int64(old) < b.Length && b.Length <= max(int64(size), firstBodyBuffer) {
		size = int(b.Length)
	}
	size = min(size, maxBufferedBody)
	if size == old {
		return false
	}
	if m, ok := b.source.(memoryTaker); ok && !m.TakeMemory(int64(size-old)) {
		return false
	}
	grown := make([]byte, len(b.Buffered), size)
	copy(grown, b.Buffered)
	b.Buffered = grown
	return true
}
