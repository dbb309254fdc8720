package record

// State is the progress of a request according to its record.
type State int32

// The numbers of the states are sent to other instances; isAfter orders them.
const (
	// NotRun means that the request is proven not to have run and may be sent
	// again, which is another execution.
	NotRun State = iota
	// Dispatched means that a backend server may be running the request or may have run it.
	Dispatched
	// Unknown means that it can no longer be determined whether the request ran.
	Unknown
	// Answered means that the request ran and was answered.
	Answered
)

// isAfter reports whether an execution may be in the state s after it was in other. Each
// execution ends in one of the states other than Dispatched.
func (s State) isAfter(other State) bool {
	return other == Dispatched && s != Dispatched || other == NotRun && (s == Unknown || s == Answered) || other == Unknown && s == Answered
}
