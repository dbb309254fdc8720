package admission

// ResultKind is how a request that had a slot ended.
type ResultKind int

const (
	// Neutral is no evidence about the server: the slot was not used, or the caller left at once.
	Neutral ResultKind = iota
	// Success is a complete response.
	Success
	// Failure is a failed connection or an incomplete response.
	Failure
	// Shed is a refusal by the server, which did not run the request.
	Shed
	// Abandoned is a request that was cancelled before its response.
	Abandoned
)
