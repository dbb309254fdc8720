package exchange

import "time"

// QuarantineMark says that requests with this fingerprint have crashed backend servers.
type QuarantineMark struct {
	Fingerprint uint64
	Service     string
	// Crashes is the number of backend servers crashed; from 2 on the request is refused.
	Crashes int
	// Remaining is the time until the mark expires.
	Remaining time.Duration
}
