package owners

import "time"

// count is how many servers a service had, and since when.
type count struct {
	servers int
	since   time.Time
}
