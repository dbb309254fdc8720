package owners

import "time"

// OrderResult is the end of an order's call.
type OrderResult struct {
	Order   Order
	Outcome Outcome
	// Ended is when the call was over: nothing of it can arrive later.
	Ended time.Time
	// Handover is what a release returned.
	Handover string
}
