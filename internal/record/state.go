package record

// State is how far a request is, as its record knows.
type State int32

// The states of a record, in the order in which a mirror lets them replace each
// other: a copy that arrives late never takes a record back.
const (
	// NotRun means that the request is proven not to have run and may be sent
	// again. Mirrors never hold it: a late copy of it could hide a later dispatch.
	NotRun State = iota
	// Dispatched means that a backend server may run the request now or may have run it.
	Dispatched
	// Unknown means that nobody will learn whether the request ran.
	Unknown
	// Answered means that the request ran and was answered.
	Answered
)
