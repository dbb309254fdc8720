package quarantine

import "time"

// Entry is what instances exchange about one fingerprint.
type Entry struct {
	Fingerprint Fingerprint
	Service     string
	// Crashes counts the crashes of which the request may be the cause. 0 means
	// that it was cleared.
	Crashes int
	// Remaining is how long the entry stays in force.
	Remaining time.Duration
}
