package httpbackend

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/key"
)

// HashRange is the JSON representation of a half-open range of key hashes.
type HashRange struct {
	Start string `json:"start"`
	End   string `json:"end"`
}

func hex(h key.Hash) string {
	return strconv.FormatUint(uint64(h), 16)
}
