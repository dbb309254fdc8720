package page

// line is one percentile. A bucket without answers interrupts it, so it has one or more parts.
type line struct {
	Class string
	Label string
	Parts []string // points of SVG polylines
}
