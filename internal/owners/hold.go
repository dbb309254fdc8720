package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Grant is the right of one life of a server to a range, under one fence.
type Grant struct {
	Server fleet.Incarnation
	Fence  int64
	// ExpiresBy is when the hold has ended at the latest, on the holder's clock.
	ExpiresBy time.Time
	// UnansweredUntil is until when an order without an answer may still take effect.
	// A later order under a higher fence makes it void.
	UnansweredUntil time.Time
	// UnansweredAtMove tells that such an order was known of when the move was planned.
	UnansweredAtMove bool
	// unresponsive is set once the last owner has not answered an order.
	unresponsive bool
	// supersedingGrants counts the grants that were sent to make late ones void.
	supersedingGrants int
	// ExpiryOnly holds end by time only: an order of an earlier holder may still take
	// effect, and this holder cannot make it void.
	ExpiryOnly bool
	// Ambiguous holds stand for two lives, of which Life is one: its end proves nothing
	// about the other.
	Ambiguous bool
}
