package owners

import "peridotmoor.org/peridotmoor/internal/fleet"

// Candidate is a server that may own keys, as the planner sees it.
type Candidate struct {
	fleet.Incarnation
	Slots int
	// Usable servers may keep their keys and get more.
	Usable bool
	// Cold servers get no further keys.
	Cold bool
	// ServiceTime is the average service time in seconds.
	ServiceTime float64
}
