package owners

// View is what instances know of one range.
type View struct {
	Interval
	Owner string
	// Held is false while the range moves.
	Held bool
}
