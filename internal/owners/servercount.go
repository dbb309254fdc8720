package owners

import "time"

// serverCount is the number of usable servers of a service and the time of its last change.
type serverCount struct {
	servers int
	since   time.Time
}
