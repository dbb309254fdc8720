package httpstore

// callKind determines what the loss of a response means for a call.
type callKind int

const (
	// readCall has no effect, so it can be repeated after the loss of its response.
	readCall callKind = iota
	// writeCall may have taken effect even if its response was lost.
	writeCall
)
