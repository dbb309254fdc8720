package explain

// Server is a server that may run a request.
type Server struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Usable bool   `json:"usable"`
	// Obstacle is why it is not usable: leaving, domain-out or paused.
	Obstacle string `json:"obstacle,omitempty"`
	// LocalObstacle is why the instance would not place a request there without the holder:
	// cold, backoff, limit or busy.
	LocalObstacle string `json:"local_obstacle,omitempty"`
	// Confirmed is set if what is known of the server is recent enough to send a request.
	Confirmed bool `json:"confirmed"`
	Cold      bool `json:"cold"`
	// LimitPerS is the rate that the server takes from all instances, or nil for no limit.
	LimitPerS *float64 `json:"limit_per_s,omitempty"`
}
