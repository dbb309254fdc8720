package assign

// draftRange is a range of the draft, with servers by index.
type draftRange struct {
	Range
	owner int
	load  float64
	// fixed reports that the range is being moved already.
	fixed bool
}
