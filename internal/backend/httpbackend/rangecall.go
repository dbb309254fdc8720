package httpbackend

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/key"
)

// RangeCall is a half-open range of hashes.
type RangeCall struct {
	Start string `json:"start"`
	End   string `json:"end"`
}

func hex(h key.Hash) string {
	return strconv.FormatUint(uint64(h), 16)
}
