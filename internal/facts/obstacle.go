package facts

// Obstacle is the reason why an instance may not send a server requests.
type Obstacle uint8

// The obstacles.
const (
	ObstacleNone Obstacle = iota
	// ObstacleLeaving means that the server is leaving, by its entry or its own responses.
	ObstacleLeaving
	// ObstacleDomainOut means that the operators have taken out its failure domain.
	ObstacleDomainOut
	// ObstaclePaused means that the server wants no requests from this instance for now.
	ObstaclePaused
)

// String returns the name of the obstacle for operators.
func (o Obstacle) String() string {
	names := [...]string{"none", "leaving", "domain-out", "paused"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
