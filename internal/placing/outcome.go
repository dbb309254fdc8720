package placing

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the server ran the request and answered.
	Answered Outcome = iota
	// Shed means that the server said that it did not run the request.
	Shed
	// Misdirected means that another server was at the address, or the server does not hold the key.
	Misdirected
	// Unreached means that nothing was sent.
	Unreached
	// Lost means that the request may have run.
	Lost
	// Abandoned means that the caller left or the time was up.
	Abandoned
	// Unused means that the verdict came too late to be used.
	Unused
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"answered", "shed", "misdirected", "unreached", "lost", "abandoned", "unused"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
