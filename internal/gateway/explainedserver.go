package gateway

import "peridotmoor.org/peridotmoor/internal/facts"

// ExplainedServer is a server that may run an explained request.
type ExplainedServer struct {
	Name, Domain string
	// Obstacle is why the server gets no request of this instance, whoever places it.
	Obstacle facts.Obstacle
	// LocalObstacle is why this instance would not place a request there by itself.
	LocalObstacle localObstacle
	// Confirmed is set if what is known of the server is recent enough to send it a request.
	Confirmed bool
	Cold      bool
	// LimitPerS is the rate that the server takes from all instances, if Limited is set.
	Limited   bool
	LimitPerS float64
}
