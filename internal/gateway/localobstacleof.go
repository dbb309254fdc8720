package gateway

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// obstacleAt returns why no request would be placed at the server, without taking anything of
// the limits.
func (l *localScheduler) obstacleAt(now time.Time, snapshot *facts.Snapshot, server *fleet.Server) localObstacle {
	inFlight := int64(0)
	if n, known := l.inFlight.Load(server.Name); known {
		inFlight = n.(*atomic.Int64).Load()
	}
	rate, limited := snapshot.Backpressure.Of(server.Incarnation).Limit.Rate()
	instances := l.fleetSize()
	switch {
	case server.Cold(now):
		return localObstacleCold
	case limited && (instances == 0 || !l.limiter.hasTurn(now, server.Incarnation, l.shareOf(rate, instances))):
		return localObstacleLimit
	case inFlight >= l.inFlightLimit(l.slotsOf(server.Name)):
		return localObstacleBusy
	case l.failures.inBackoff(now, server.Name):
		return localObstacleBackoff
	}
	return localObstacleNone
}

// shareOf returns the part of a server's limit that one of the given number of instances uses.
func (l *localScheduler) shareOf(rate float64, instances int) float64 {
	return localLimitShare * rate / float64(instances)
}
