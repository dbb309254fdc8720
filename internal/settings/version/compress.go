package version

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Compress compresses a stored value for transfer between instances. A tree compresses
// well because it has a section of the same form for each server.
func Compress(value []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	w.Write(value) // writing to a bytes.Buffer does not fail
	w.Close()
	return b.Bytes()
}

// Decompress reverses Compress. It returns ErrCorrupt if the input is invalid or if the
// value would exceed store.MaxValueBytes, so that a small message cannot exhaust memory.
func Decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	value, err := io.ReadAll(io.LimitReader(r, store.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if len(value) > store.MaxValueBytes {
		return nil, errors.Wrap(ErrCorrupt, "the value unpacks to more than the store holds")
	}
	return value, nil
}
