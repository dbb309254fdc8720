package backend

import "time"

// taking is a grant by which a server that did not hold a key took it.
type taking struct {
	server    string
	fence     int64
	arrivedAt time.Time
}
