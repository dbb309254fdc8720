package owners

// Outcome is how the call of an order ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the server carried out the order.
	OutcomeDone Outcome = iota
	// OutcomeFenced means that the server has seen a higher fence.
	OutcomeFenced
	// OutcomeProcessEnded means that the process of that incarnation has provably ended.
	OutcomeProcessEnded
	// OutcomeNoAnswer means that the order may have been carried out.
	OutcomeNoAnswer
	// OutcomeUnsent means that nothing reached the server.
	OutcomeUnsent
	// OutcomeRefused means that the server's machine refused the connection: the process
	// has ended, or it has reached its limit of connections.
	OutcomeRefused
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"done", "fenced", "gone", "silent", "unsent", "refused"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
