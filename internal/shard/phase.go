package shard

// phase is the state of a range at its owner.
type phase int

const (
	// granting: the owner has not acknowledged the range. Requests are blocked.
	granting phase = iota
	// serving: the owner has acknowledged the range.
	serving
	// draining: the range is to be moved and waits for its requests in flight to end.
	// New requests are blocked.
	draining
)
