package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedSource is a body source that has memory for a buffer of limit bytes.
type limitedSource struct {
	io.Reader
	limit, taken int64
}

func (s *limitedSource) TakeMemory(n int64) bool {
	if s.taken+n > s.limit {
		return false
	}
	s.taken += n
	return true
}

// Guards against a body that is buffered without memory for it, or that loses bytes or its
// size limit where buffering ends.
func TestBodyWithoutMemoryIsStreamed(t *testing.T) {
	text := strings.Repeat("0123456789", 10<<10)
	for _, length := range []int64{int64(len(text)), -1} {
		for _, limit := range []int64{0, 2 << 10, 50 << 10, 1 << 20} {
			is := is.New(t)
			source := &limitedSource{Reader: strings.NewReader(text), limit: limit}
			b := NewBody(source, length)
			is.NoErr(b.Buffer(context.Background(), time.Now().Add(time.Second), int64(len(text))))
			is.Equal(int64(cap(b.Buffered)), source.taken)
			rest := ""
			if b.Remainder != nil {
				text, err := io.ReadAll(b.Remainder)
				is.NoErr(err)
				rest = string(text)
			}
			is.True(string(b.Buffered)+rest == text)
			is.Equal(b.Remainder == nil, limit == 1<<20)
		}
	}
	is := is.New(t)
	b := NewBody(&limitedSource{Reader: strings.NewReader(text)}, -1)
	is.NoErr(b.Buffer(context.Background(), time.Now().Add(time.Second), 5))
	_, err := io.ReadAll(b.Remainder)
	is.Equal(err, errBodyTooLarge)
}
