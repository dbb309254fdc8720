package page

// bar is one segment of a stacked bar. Class is the outcome.
type bar struct {
	X, Y, W, H float64
	Class      string
	Title      string
}
