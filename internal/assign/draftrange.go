package assign

// draftRange is a range of the draft, with servers by index.
type draftRange struct {
	Range
	owner int
	load  float64
	// moving reports that the range is being moved already.
	moving bool
}
