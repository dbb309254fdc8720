package owners

// MoveReason says why keys change their owner.
type MoveReason uint8

// The reasons.
const (
	// MoveLost means that the owner is gone, leaves, or does not answer.
	MoveLost MoveReason = iota
	// MoveRestarted means that the owner has started again.
	MoveRestarted
	// MoveJoined means that a new server gets its part.
	MoveJoined
	// MoveBusy means that the owner is far busier than the others.
	MoveBusy
)

// String returns the name of the reason in logs.
func (r MoveReason) String() string {
	names := [...]string{"lost", "reborn", "joined", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
