package authority

import "time"

// grantedPromise is what a claim knows of one member's promise.
type grantedPromise struct {
	// sent is when the latest promised request was sent.
	sent time.Time
	// generation is the highest mirror generation that the member acknowledged.
	generation uint64
}
