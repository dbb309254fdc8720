package owners

// Phase is the state of a range.
type Phase uint8

// The phases.
const (
	// PhaseUnowned ranges need a server.
	PhaseUnowned Phase = iota
	// PhaseConfirming ranges have a new owner, and wait for their previous one, which serves
	// on, to answer a grant that invalidates all earlier ones.
	PhaseConfirming
	// PhasePlanned ranges have a new owner that is not stored yet.
	PhasePlanned
	// PhaseReleasing ranges wait for their previous owner to release them.
	PhaseReleasing
	// PhaseGranting ranges wait for the new owner to accept the grant.
	PhaseGranting
	// PhaseHeld ranges are served.
	PhaseHeld
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	names := [...]string{"unowned", "confirming", "planned", "releasing", "granting", "held"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}
