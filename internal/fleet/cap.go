package fleet

// Cap limits the requests of a team over all instances together. The zero value limits
// nothing.
type Cap struct {
	// Rate is in requests/s.
	Rate float64
	// Burst is how many requests may come at once after a pause.
	Burst float64
}

// Limited reports whether the cap limits anything.
func (c Cap) Limited() bool {
	return c.Rate > 0
}
