package owners

// Action is the operation that an order requests from a server.
type Action uint8

// The actions.
const (
	ActionGrant Action = iota
	ActionRelease
)

// String returns the name of the action in logs.
func (a Action) String() string {
	if a == ActionRelease {
		return "release"
	}
	return "grant"
}
