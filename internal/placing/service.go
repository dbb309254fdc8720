package placing

import (
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// service is the scheduler's state of one service.
type service struct {
	*fleet.Service
	servers map[string]*server
	// queue holds attempts that any server may run.
	queue queue
	// returns holds the places of refused callers on the schedule of the queue.
	returns returnSchedule
	// refusals holds the refused attempts whose callers may return.
	refusals refusalMemory
	shortage Shortage
	// unownedQueue holds attempts for keys that currently have no owner.
	unownedQueue queue
	retries      retryLimiter
	keyRates     *KeyRates
	// serviceTime is the moving average over all servers in seconds.
	serviceTime float64
	// base is the service time apart from momentary slowdowns and waiting.
	base baseTime
}

// usableSlots returns the number of slots of the servers that may get work.
func (s *service) usableSlots() int {
	n := 0
	for _, v := range s.servers {
		if !v.excluded {
			n += v.Slots
		}
	}
	return n
}
