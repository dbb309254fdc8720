package backend

import "time"

// Conflict is a key for which two servers held a grant at the same time, either for
// longer than maxSharedTime, or while both started requests of it.
type Conflict struct {
	Key           int
	First, Second string
	// RequestID is the second of the requests, or "" if the servers shared the key for too long.
	RequestID string
	// OldFence is the fence under which the second server took the key although the first
	// one had it under the same or a higher one, or 0.
	OldFence int64
	At       time.Time
	// GrantsArrivedAt holds the arrivals of the grants of both servers.
	GrantsArrivedAt [2]time.Time
}
