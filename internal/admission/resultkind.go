package admission

// ResultKind says how a request that had a slot ended.
type ResultKind int

// The ends of a request, as far as admission cares.
const (
	// Neutral says nothing about the server: the slot was not used, or the caller left at once.
	Neutral ResultKind = iota
	// Success is a whole answer.
	Success
	// Failure is a connection that failed or an answer that is not whole.
	Failure
	// Shed is a refusal by the server that nothing ran.
	Shed
	// Abandoned is a request that was cancelled before its answer.
	Abandoned
)
