package record

// peerState is how far a mirror is from joining or leaving the set.
type peerState int

const (
	// peerProbing: not yet known to respond; no request waits for it.
	peerProbing peerState = iota
	// peerJoining: gets each new record and, meanwhile, all earlier ones.
	peerJoining
	// peerMember: has all records and is, or is about to be, in the set.
	peerMember
	// peerLeaving: requests wait for it until a set without it is acknowledged.
	peerLeaving
)
