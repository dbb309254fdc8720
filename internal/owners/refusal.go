package owners

import "time"

// refusal is how often a life has refused connections, and since when.
type refusal struct {
	since time.Time
	count int
}
