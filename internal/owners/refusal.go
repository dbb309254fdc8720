package owners

import "time"

// refusalCount is how often a life has refused connections, and since when.
type refusalCount struct {
	since time.Time
	count int
}
