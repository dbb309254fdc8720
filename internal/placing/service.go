package placing

import (
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// service is what the placer knows of one service.
type service struct {
	*fleet.Service
	servers map[string]*server
	// queue holds requests that any server may run.
	queue queue
	// unownedQueue holds requests for keys that have no owner at the moment.
	unownedQueue  queue
	retries retryLimiter
	keyRates    *KeyRates
	// serviceTime is the average service time of all servers in seconds.
	serviceTime float64
}

// usableSlots returns the usable usableSlots.
func (s *service) usableSlots() int {
	n := 0
	for _, v := range s.servers {
		if !v.excluded {
			n += v.Slots
		}
	}
	return n
}
