package record

// Action is what the holder does with an arriving request, as its record decides.
type Action int

const (
	// ActionRun means that the caller of Begin runs the request and concludes the execution.
	ActionRun Action = iota
	// ActionJoin means that the request is already running; wait until it ends.
	ActionJoin
	// ActionReplay means that the recorded response is returned.
	ActionReplay
	// ActionRefuse means that the request is refused with a problem.
	ActionRefuse
)
