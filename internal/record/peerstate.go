package record

// peerState is the stage of a mirror between its first probe and its removal.
type peerState int

const (
	// peerProbing: has not responded to its probe yet; no request waits for it.
	peerProbing peerState = iota
	// peerJoining: gets each new record and, by the backfill, all earlier ones.
	peerJoining
	// peerMember: has all records; is in the set or about to be proposed.
	peerMember
	// peerLeaving: requests wait for it until a set without it is acknowledged.
	peerLeaving
)
