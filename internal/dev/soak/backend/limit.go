package backend

import "time"

// Limit is the time during which a server names a rate limit in its responses.
type Limit struct {
	Server      string
	PerSecond   float64
	From, Until time.Time
}
