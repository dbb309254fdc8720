// Package payload generates and checks bodies that are bound to one request ID, so
// that a body of another request, or an incomplete one, is detected.
package payload

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// checksumBytes is the length of the xxhash64 at the end of each body.
const checksumBytes = 8

// MinBytes is the length of the shortest body.
const MinBytes = checksumBytes

// ErrMismatch means that a body belongs to another request ID or is incomplete.
var ErrMismatch = errors.New("payload: body belongs to another request or is incomplete")

// Make returns the body of size bytes that belongs to id. A size below MinBytes counts as MinBytes.
func Make(id string, size int) []byte {
	size = max(size, MinBytes)
	content := make([]byte, 0, size+checksumBytes)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(id), uint64(size)))
	for len(content) < size-checksumBytes {
		content = binary.LittleEndian.AppendUint64(content, random.Uint64())
	}
	content = content[:size-checksumBytes]
	return binary.LittleEndian.AppendUint64(content, checksum(id, content))
}

// Check returns ErrMismatch unless content is the complete body of size bytes that belongs to id.
func Check(id string, size int, content []byte) error {
	size = max(size, MinBytes)
	if len(content) != size {
		return errors.Wrapf(ErrMismatch, "request %s: %d bytes instead of %d", id, len(content), size)
	}
	data, sum := content[:size-checksumBytes], content[size-checksumBytes:]
	if binary.LittleEndian.Uint64(sum) != checksum(id, data) {
		return errors.Wrapf(ErrMismatch, "request %s: checksum does not match", id)
	}
	return nil
}

func checksum(id string, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write(data)
	return digest.Sum64()
}
