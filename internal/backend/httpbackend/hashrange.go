package httpbackend

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/key"
)

// HashRange is a half-open range of hashes.
type HashRange struct {
	Start string `json:"start"`
	End   string `json:"end"`
}

func hex(h key.Hash) string {
	return strconv.FormatUint(uint64(h), 16)
}
