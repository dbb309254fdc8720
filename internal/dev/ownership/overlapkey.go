package ownership

import "peridotmoor.org/peridotmoor/internal/key"

// overlapKey identifies an overlap: two servers and the range that both own.
type overlapKey struct {
	service       string
	shared        key.Range
	first, second string
}
