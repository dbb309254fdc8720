package ownership

import "peridotmoor.org/peridotmoor/internal/key"

// pair names two servers and the range that both own.
type pair struct {
	service       string
	shared        key.Range
	first, second string
}
