package page

// line is the plot of one percentile. A bucket without responses interrupts it, so it has
// one or more parts.
type line struct {
	Class string
	Label string
	Parts []string // points of SVG polylines
}
