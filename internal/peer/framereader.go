package peer

import (
	"io"

	"github.com/pkg/errors"
)

// frameReader reads a body that arrives in frames. The body is complete only when
// the frame marked as last has been read.
type frameReader struct {
	// next returns the bytes of the next frame and whether it is the last one.
	next  func() ([]byte, bool, error)
	chunk []byte
	last  bool
}

// Read returns io.ErrUnexpectedEOF if the stream ends before the last frame.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 {
		if r.last {
			return 0, io.EOF
		}
		chunk, last, err := r.next()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		r.chunk, r.last = chunk, last
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}
