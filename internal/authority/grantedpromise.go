package authority

import "time"

// grantedPromise is what a claim knows of one member's promise.
type grantedPromise struct {
	// sentAt is when the latest promised request was sentAt.
	sentAt time.Time
	// generation is the highest mirror generation that the member acknowledged.
	generation uint64
}
