package owners

// Outcome is how the call of an order ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the server carried out the order.
	OutcomeDone Outcome = iota
	// OutcomeFenced means that the server has seen a higher fence.
	OutcomeFenced
	// OutcomeProcessEnded means that the process of that incarnation has provably ended:
	// another server has answered at its address.
	OutcomeProcessEnded
	// OutcomeNoAnswer means that the order may have been carried out.
	OutcomeNoAnswer
	// OutcomeUnsent means that nothing reached the server.
	OutcomeUnsent
	// OutcomeRefused means that the connection was refused, so that nothing reached the
	// server. It does not prove that the process has ended: a network partition may reset
	// connections, and a server at its limit of connections refuses them too.
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
