package owners

// OwnedRange is a range and its owner as published to instances.
type OwnedRange struct {
	Interval
	Owner string
	// Held is false while the range moves.
	Held bool
}
