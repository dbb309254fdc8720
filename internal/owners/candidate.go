package owners

import (
	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Candidate describes a server of a service to the planner.
type Candidate struct {
	fleet.Incarnation
	Slots int
	// Usable servers keep their keys and may be assigned more.
	Usable bool
	// Cold servers get a first share of keys, and more only if no warm server is usable.
	Cold bool
	// ServiceTime is the average service time in seconds.
	ServiceTime float64
	// Limit is the rate limit that the server names.
	Limit backpressure.Limit
}
