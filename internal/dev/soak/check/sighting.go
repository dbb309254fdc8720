package check

import "time"

// sighting is the time at which a process was seen to use a version or a newer one.
type sighting struct {
	at      time.Time
	version int
}
