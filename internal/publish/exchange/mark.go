package exchange

import "time"

// Mark says that a request with this fingerprint has crashed servers.
type Mark struct {
	Fingerprint uint64
	Service     string
	// Crashes is how many servers it has crashed; from 2 on the request is refused.
	Crashes int
	// Remaining is how long the mark is still in effect.
	Remaining time.Duration
}
