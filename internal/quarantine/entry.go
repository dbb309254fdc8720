package quarantine

import "time"

// Entry is the mark of one fingerprint as instances exchange it.
type Entry struct {
	Fingerprint Fingerprint
	Service     string
	// Crashes is the number of crashes that the request may have caused. 0 means that the
	// request was cleared.
	Crashes int
	// Remaining is the time until the entry expires.
	Remaining time.Duration
}
