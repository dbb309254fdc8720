package owners_test

import "time"

// hotKeys adds requests for adjacent keys during a period, counted from the start of the load.
type hotKeys struct {
	first, count int
	perSecond    float64
	from, to     time.Duration
}
