package record

// State is the progress of a request according to its record.
type State int32

// The states are ordered: a mirror replaces a record only by one in a later state, so that
// a copy that arrives late never reverts a record.
const (
	// NotRun means that the request is proven not to have run and may be sent
	// again. Mirrors never store it: a late copy of it could hide a later dispatch.
	NotRun State = iota
	// Dispatched means that a backend server may be running the request or may have run it.
	Dispatched
	// Unknown means that it can no longer be determined whether the request ran.
	Unknown
	// Answered means that the request ran and was answered.
	Answered
)
