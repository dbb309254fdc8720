package owners

// MoveReason is why a range changes its owner.
type MoveReason uint8

// The reasons.
const (
	// MoveLost means that the owner is unlisted, leaving or not answering.
	MoveLost MoveReason = iota
	// MoveRestarted means that the owner's process was restarted.
	MoveRestarted
	// MoveJoined means that a server without keys receives some.
	MoveJoined
	// MoveBusy means that the owner is far busier than the average server.
	MoveBusy
	// MoveSpread means that the range is a part of hot neighbouring keys.
	MoveSpread
)

// String returns the name of the reason in logs.
func (r MoveReason) String() string {
	names := [...]string{"lost", "reborn", "joined", "busy", "spread"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
