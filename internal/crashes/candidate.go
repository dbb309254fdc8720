package crashes

import (
	"cmp"
	"time"
)

// candidate is a content that may be evicted.
type candidate struct {
	hash    uint64
	content *content
	// rank is 0 for contents whose losses no longer count, 2 for contents that are refused,
	// and 1 for others.
	rank int
}

func rankOf(c *content, now time.Time) int {
	switch {
	case c.blocks(now):
		return 2
	case c.losses[len(c.losses)-1].counts(now):
		return 1
	}
	return 0
}

// compare orders candidates by when they are evicted.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.rank, other.rank), c.content.lastAt().Compare(other.content.lastAt()))
}
