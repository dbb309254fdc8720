package exchange

import "time"

// QuarantineMark says that a request with this fingerprint has crashed servers.
type QuarantineMark struct {
	Fingerprint uint64
	Service     string
	// Crashes is how many servers it has crashed; from 2 on the request is refused.
	Crashes int
	// Remaining is how long the mark is still in effect.
	Remaining time.Duration
}
