package peer

import "time"

// BusyServer is what the next holder must know of a backend server.
type BusyServer struct {
	Server string
	// Slots is how many slots requests of the sender still use, for at most Remaining.
	Slots     int
	Remaining time.Duration
	// Warm reports that the server has completed its cold start.
	Warm bool
}
