package membership

// ObservationKind is the kind of an observation of an instance.
type ObservationKind int

// The kinds of observations.
const (
	// Responded means that the instance responded or sent a message of its own.
	Responded ObservationKind = iota
	// ReportedLeaving means that it responded and said that it is leaving.
	ReportedLeaving
	// ConnectionRefused means that the connection to its address was refused.
	ConnectionRefused
	// IdentityMismatch means that something other than the expected incarnation responded at
	// its address.
	IdentityMismatch
	// NoResponse means that no response came in time.
	NoResponse
)
