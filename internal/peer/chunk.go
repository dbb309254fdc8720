package peer

import (
	"io"

	"github.com/pkg/errors"
)

// readChunk fills chunk from r. ended is true only if r itself returned io.EOF.
// io.ReadFull cannot be used: it returns the same error, io.ErrUnexpectedEOF, for a
// regular end and for a truncated body.
func readChunk(r io.Reader, chunk []byte) (n int, ended bool, err error) {
	for n < len(chunk) {
		read, err := r.Read(chunk[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
