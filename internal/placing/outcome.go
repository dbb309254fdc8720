package placing

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server ran the request and answered.
	Answered Outcome = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Misdirected means that another server answered at the address, or that the
	// server does not own the key.
	Misdirected
	// Unreached means that no part of the request was sent.
	Unreached
	// Lost means that the connection was lost; the request may have run.
	Lost
	// Abandoned means that the caller left or the deadline passed.
	Abandoned
	// Unused means that the attempt was assigned but not sent, since the decision
	// came too late or the server was not usable any more.
	Unused
)

// MayHaveRun reports whether the request may have run.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Shed, Misdirected, Unreached, Unused:
		return false
	}
	return true
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "shed", "misdirected", "unreached", "lost", "abandoned", "unused"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
