package peer

import "time"

// BusyServer says how many slots of a backend server are in use, and for how long at most.
type BusyServer struct {
	Server    string
	Slots     int
	Remaining time.Duration
}
