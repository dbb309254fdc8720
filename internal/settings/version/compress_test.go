package version

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a value that differs after compression and decompression, and against a
// small message that exhausts the memory of its receiver.
func TestPack(t *testing.T) {
	for _, size := range []int{0, 1, 1000, store.MaxValueBytes} {
		value := bytes.Repeat([]byte("x"), size)
		back, err := Decompress(Compress(value))
		if err != nil || !bytes.Equal(back, value) {
			t.Errorf("%d bytes decompress to %d, %v", size, len(back), err)
		}
	}
	bad := map[string][]byte{
		"empty":    nil,
		"no gzip":  []byte("{}"),
		"cut":      Compress([]byte("value"))[:12],
		"too long": Compress(make([]byte, store.MaxValueBytes+1)),
	}
	for name, compressed := range bad {
		if _, err := Decompress(compressed); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: got %v, want ErrCorrupt", name, err)
		}
	}
}
