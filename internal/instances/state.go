package instances

// State is the state of an instance in the platform's list.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)
