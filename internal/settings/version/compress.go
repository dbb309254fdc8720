package version

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Compress compresses a stored value for the way between instances. A tree repeats
// its section forms for each server.
func Compress(value []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	w.Write(value) // a bytes.Buffer takes every write
	w.Close()
	return b.Bytes()
}

// Decompress returns what Pack was given. It returns ErrCorrupt for anything else
// and for values that the store could not hold.
func Decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
