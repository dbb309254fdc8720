package peer

import (
	"io"

	"github.com/pkg/errors"
)

// readChunk fills chunk from r. ended is true only when r itself returned
// io.EOF: io.ReadFull cannot be used because it reports a clean end and a body
// that broke off with the same error.
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
