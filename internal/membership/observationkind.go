package membership

// ObservationKind says what was seen of an instance.
type ObservationKind int

// The kinds of evidence.
const (
	// Responded means that the instance answered or sent a message of its own.
	Responded ObservationKind = iota
	// ReportedLeaving means that it answered and said that it leaves.
	ReportedLeaving
	// ConnectionRefused means that the connection to its address was refused.
	ConnectionRefused
	// IdentityMismatch means that another incarnation answered in its place.
	IdentityMismatch
	// NoResponse means that no answer came in time.
	NoResponse
)
