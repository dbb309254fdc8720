package assign

// ServerState says what a server may be given.
type ServerState int

// The states of a server.
const (
	// InService serves ranges and is a standby.
	InService ServerState = iota
	// Cold serves at most one range until its ramp completes.
	Cold
	// Leaving drains: its ranges move to other servers, without a gap.
	Leaving
	// OutOfService is taken out by settings: its ranges move to other servers, without a gap.
	OutOfService
	// Lost does not answer.
	Lost
)

// String returns the state as written in logs.
func (s ServerState) String() string {
	switch s {
	case InService:
		return "in"
	case Cold:
		return "cold"
	case Leaving:
		return "leaving"
	case OutOfService:
		return "out"
	default:
		return "lost"
	}
}

// Usable reports whether a server in this state may own a range.
func (s ServerState) Usable() bool {
	return s == InService || s == Cold
}
