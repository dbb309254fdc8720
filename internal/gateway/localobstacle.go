package gateway

// localObstacle is why an instance does not place a request at a server by itself.
type localObstacle uint8

const (
	localObstacleNone localObstacle = iota
	// localObstacleCold means that the rate of a cold server holds for the whole fleet.
	localObstacleCold
	// localObstacleBackoff means that the server did not take the last requests.
	localObstacleBackoff
	// localObstacleLimit means that the share of the limit that the server names is used up.
	localObstacleLimit
	// localObstacleBusy means that the instance has as many attempts there as it may have.
	localObstacleBusy
)

// String returns the name of the obstacle for operators.
func (o localObstacle) String() string {
	names := [...]string{"none", "cold", "backoff", "limit", "busy"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}
