package owners

import "time"

// OrderResult is the result of the call that carried an order.
type OrderResult struct {
	Order   Order
	Outcome Outcome
	// Ended is when the call ended. Nothing of it reaches the server later.
	Ended time.Time
	// Expired is set if the order was not sent because its sender came to it too late. That
	// says nothing about the server.
	Expired bool
	// WrittenAt is when the write of the order ended, or the zero time if none began. It is
	// used for logs and metrics only.
	WrittenAt time.Time
	// Handover is the state that a release returned for the next owner.
	Handover string
}
