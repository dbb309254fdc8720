package instances

// State is what the platform says about an instance.
type State string

// The states in the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)
