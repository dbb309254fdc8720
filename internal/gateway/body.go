package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedBody is how much of a body is buffered in memory so that it can be sent again.
const maxBufferedBody = 512 << 10

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
	size := int64(maxBufferedBody)
	if b.Length >= 0 && b.Length < size {
		size = b.Length
	}
	buffered := make([]byte, 0, max(size, 512))
	buffered, err := readUpTo(buffered, io.LimitReader(b.source, maxBufferedBody))
	b.Buffered = buffered
	switch {
	case err != nil && ctx.Err() == nil && !time.Now().Before(deadline):
		return errBodyTimeout
	case err != nil:
		return errors.Wrap(err, "read the request body")
	case int64(len(buffered)) < maxBufferedBody:
		return nil
	}
	b.Remainder = b.source
	if limit > 0 {
		b.Remainder = &maxBytesReader{source: b.source, remaining: limit - maxBufferedBody}
	}
	return nil
}

// readUpTo reads r to its end and appends it to buffer.
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
