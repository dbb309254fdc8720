package facts

import (
	"crypto/sha256"
	"encoding/binary"
)

// hasher digests records field by field. The result is the same in all processes and versions.
type hasher struct {
	buffer []byte
}

func (h *hasher) text(s string) {
	h.number(int64(len(s)))
	h.buffer = append(h.buffer, s...)
}

func (h *hasher) number(n int64) {
	h.buffer = binary.LittleEndian.AppendUint64(h.buffer, uint64(n))
}

func (h *hasher) flag(b bool) {
	if b {
		h.number(1)
		return
	}
	h.number(0)
}

// sum returns the digest of the record and begins the next one.
func (h *hasher) sum() uint64 {
	sum := sha256.Sum256(h.buffer)
	h.buffer = h.buffer[:0]
	return binary.LittleEndian.Uint64(sum[:])
}
