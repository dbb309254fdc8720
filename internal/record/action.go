package record

// Action is what a holder does with a request after it has read its record.
type Action int

// The actions.
const (
	// ActionRun means that the caller runs the request and concludes it.
	ActionRun Action = iota
	// ActionJoin means that the same request is running; wait for its end.
	ActionJoin
	// ActionReplay means that the answer is known.
	ActionReplay
	// ActionRefuse means that the request is not run now.
	ActionRefuse
)
