package backhttp

import "time"

// finishing is what delivers the rest of a request after its response.
type finishing struct {
	// deadline is when the rest is given up.
	deadline time.Time
	watch    *windowWatch
	// written receives the end of the write.
	written <-chan writeResult
}
