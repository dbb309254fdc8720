package shard

// phase is the state of a range at its owner.
type phase int

const (
	// granting: the owner has not acknowledged the range. Requests wait.
	granting phase = iota
	// serving: the owner has acknowledged the range.
	serving
	// draining: the range waits for its requests in flight to move. New ones wait.
	draining
)
