package entrynode

import "time"

// keyGrant is the time-limited right to serve one key.
type keyGrant struct {
	fence     int64
	expiresAt time.Time
}
