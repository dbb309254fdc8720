package httpstore

// callKind says what a lost answer leaves open.
type callKind int

const (
	// readCall has no effect, so a lost answer leaves nothing open.
	readCall callKind = iota
	// changeCall may have taken effect although its answer was lost.
	changeCall
)
