package fleet

import "time"

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// HealthPath answers a GET with the health of a server.
	HealthPath string
	// MaxConnections bounds the connections of all instances to one server.
	MaxConnections int
	// ColdDuration is how long a server stays cold after it started.
	ColdDuration time.Duration
	// ColdRate is what a cold server bears, in requests/s from all instances.
	ColdRate float64
	// Keyed services run a request only at the owner of its key.
	Keyed bool
	// WarmUp is how long keys are slow that arrive without the handover of their last owner.
	WarmUp time.Duration
}
