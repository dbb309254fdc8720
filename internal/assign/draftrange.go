package assign

// draftRange is a range of the draft, with its owner as a server index.
type draftRange struct {
	Range
	owner int
	load  float64
	// moving reports that the range is being moved already or is moved by this
	// plan.
	moving bool
}
