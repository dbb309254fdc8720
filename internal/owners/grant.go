package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Grant is the time-limited right of one incarnation of a server to a range under one fence.
type Grant struct {
	Server fleet.Incarnation
	Fence  int64
	// ExpiresBy is the latest time at which the grant expires, on the holder's clock.
	ExpiresBy time.Time
	// UnansweredUntil is the time until which an unanswered order may still take effect.
	// A later order with a higher fence invalidates it.
	UnansweredUntil time.Time
	// UnansweredAtMove is set if such an order was known when the move was planned.
	UnansweredAtMove bool
	// issued is what this tenure has granted the server of the range.
	issued issuedGrant
	// unresponsive is set once the previous owner has failed to answer an order.
	unresponsive bool
	// processEnded is set if the server's process has provably ended.
	processEnded bool
	// restarted is set once a new process of the server has been asked for the release.
	restarted bool
	// supersedingGrants counts the grants that were sent to invalidate unanswered ones.
	supersedingGrants int
	// ExpiryOnly grants end only by expiring: an order of an earlier holder may still
	// take effect, and this holder cannot invalidate it.
	ExpiryOnly bool
	// Ambiguous grants may belong to either of two incarnations, of which Server is one.
	// That Server has ended proves nothing about the other.
	Ambiguous bool
}
