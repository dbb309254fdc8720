package fleet

import "time"

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path at which a server answers health checks.
	HealthPath string
	// MaxConnections limits the connections of all instances together to one server.
	MaxConnections int
	// ColdDuration is how long a server stays cold after its start.
	ColdDuration time.Duration
	// ColdRate is the load that a cold server can sustain, in requests/s from all instances together.
	ColdRate float64
	// Keyed services run a request only at the server that owns its key.
	Keyed bool
	// WarmUp is how long requests for a key are slow after it moved to a server without
	// the state that its previous owner handed over.
	WarmUp time.Duration
}

// UsableSlots returns the number of requests that a server with the given slots can run at
// the same time, each on a connection of its own.
func (s *Service) UsableSlots(slots int) int {
	if s.MaxConnections <= 0 {
		return slots
	}
	return min(slots, s.MaxConnections)
}
