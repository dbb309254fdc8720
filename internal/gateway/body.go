package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedBody is how much of a body is held in memory, so that it can be sent again.
const maxBufferedBody = 512 << 10

// Body is the body of a call. Its start is held; a longer rest is streamed once.
type Body struct {
	// Buffered is the start of the body after Hold.
	Buffered []byte
	// Remainder streams what follows, or is nil.
	Remainder io.Reader
	// Length is the announced length in bytes, or -1.
	Length int64
	source io.Reader
}

// NewBody returns the body that source delivers. A nil source is an empty body.
func NewBody(source io.Reader, length int64) *Body {
	return &Body{source: source, Length: length}
}

var (
	errBodyTooLarge = errors.New("the body exceeds the limit of the configuration; send less or raise the limit")
	errBodyTimeout  = errors.New("the body was not sent in time; send it faster or allow more time")
)

// Buffer reads the start of the body until deadline. limit is the longest body allowed.
func (b *Body) Buffer(ctx context.Context, deadline time.Time, limit int64) error {
	if b.source == nil {
		return nil
	}
	if limit > 0 && b.Length > limit {
		return errBodyTooLarge
	}
	if d, ok := b.source.(readDeadliner); ok {
		if err := d.SetReadDeadline(deadline); err != nil {
			return errors.Wrap(err, "bound the reading of the body")
		}
	}
	want := int64(maxBufferedBody)
	if b.Length >= 0 && b.Length < want {
		want = b.Length
	}
	held := make([]byte, 0, max(want, 512))
	held, err := readUpTo(held, io.LimitReader(b.source, maxBufferedBody))
	b.Buffered = held
	switch {
	case err != nil && ctx.Err() == nil && !time.Now().Before(deadline):
		return errBodyTimeout
	case err != nil:
		return errors.Wrap(err, "read the body")
	case int64(len(held)) < maxBufferedBody:
		return nil
	}
	b.Remainder = b.source
	if limit > 0 {
		b.Remainder = &maxBytesReader{source: b.source, remaining: limit - maxBufferedBody}
	}
	return nil
}

// readUpTo appends all of r to buffer.
func readUpTo(buffer []byte, r io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}
