package owners

// OwnedRange is what instances know of one range.
type OwnedRange struct {
	Interval
	Owner string
	// Held is false while the range moves.
	Held bool
}
