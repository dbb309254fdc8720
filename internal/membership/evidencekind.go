package membership

// EvidenceKind says what was seen of an instance.
type EvidenceKind int

// The kinds of evidence.
const (
	// Answered means that the instance answered or sent a message of its own.
	Answered EvidenceKind = iota
	// SaysLeaving means that it answered and said that it leaves.
	SaysLeaving
	// Refused means that the connection to its address was refused.
	Refused
	// OtherIncarnation means that another incarnation answered in its place.
	OtherIncarnation
	// Silent means that no answer came in time.
	Silent
)
