package assign

// ServerState determines which ranges a server may be given.
type ServerState int

// The states of a server.
const (
	// InService servers own ranges and are standbys.
	InService ServerState = iota
	// Cold servers are given only one range until their slow start has
	// completed.
	Cold
	// Leaving servers drain: their ranges move to other servers without a gap.
	Leaving
	// OutOfService servers are taken out by the settings: their ranges move to
	// other servers without a gap.
	OutOfService
	// Lost servers do not answer and own nothing any more.
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
