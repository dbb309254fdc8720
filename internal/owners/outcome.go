package owners

// Outcome is how an order's call ended.
type Outcome uint8

// The outcomes.
const (
	// Done means that the server carried out the order.
	Done Outcome = iota
	// Fenced means that the server has seen a higher fence.
	Fenced
	// Gone means that no process listens at the server's address.
	Gone
	// Silent means that the order may have been carried out.
	Silent
	// Unsent means that nothing reached the server.
	Unsent
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"done", "fenced", "gone", "silent", "unsent"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
