package owners

import "time"

// refusalCount is the number of connections that an incarnation has refused in a
// row, and the time of the first.
type refusalCount struct {
	since time.Time
	count int
}
