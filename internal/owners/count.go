package owners

import "time"

// serverCount is how many servers a service had, and since when.
type serverCount struct {
	servers int
	since   time.Time
}
