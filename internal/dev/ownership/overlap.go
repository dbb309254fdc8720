package ownership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Overlap is a range that two servers owned at the same time.
type Overlap struct {
	Service string    `json:"service"`
	Range   key.Range `json:"range"`
	First   string    `json:"first"`
	Second  string    `json:"second"`
	At      time.Time `json:"at"`
}

// intersect returns the intersection of two ranges and whether it is not empty.
func intersect(a, b key.Range) (key.Range, bool) {
	start := max(a.Start, b.Start)
	last := min(a.Last(), b.Last())
	return key.Range{Start: start, End: last + 1}, start <= last
}
