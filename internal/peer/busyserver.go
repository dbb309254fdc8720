package peer

import "time"

// BusyServer is the state of a backend server that the next holder takes over.
type BusyServer struct {
	Server string
	// Slots is the number of slots that requests of the sender occupy, for at most Remaining.
	Slots     int
	Remaining time.Duration
	// Warm reports whether the server has completed its slow start.
	Warm bool
}
