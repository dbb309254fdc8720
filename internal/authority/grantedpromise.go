package authority

import "time"

// grantedPromise is the state of one member's promise to a claim.
type grantedPromise struct {
	// sentAt is when the latest promised request was sent.
	sentAt time.Time
	// generation is the highest mirror set generation that the member
	// acknowledged.
	generation uint64
}
