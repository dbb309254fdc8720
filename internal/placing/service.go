package placing

import (
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/hedge"
)

// service is the scheduler's state of one service.
type service struct {
	*fleet.Service
	servers map[string]*server
	// list holds the same servers.
	list []*server
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
	hedges       hedge.Limit
	keyRates     *KeyRates
	// serviceTime is the moving average over all servers in seconds.
	serviceTime float64
	// base is the service time apart from momentary slowdowns and waiting.
	base baseTime
	// slotCount is the result of usableSlots if slotsCounted is set.
	slotCount    int
	slotsCounted bool
}

// usableSlots returns the number of slots of the servers that may get work. It is counted
// once between two ticks: Update, which alone changes it, ends with one.
func (s *service) usableSlots() int {
	if s.slotsCounted {
		return s.slotCount
	}
	n := 0
	for _, v := range s.list {
		if !v.excluded {
			n += v.Slots
		}
	}
	s.slotCount, s.slotsCounted = n, true
	return n
}

// remove forgets a server. The attempts that wait for it are routed anew at the next tick.
func (s *service) remove(gone *server) {
	gone.excluded = true
	for _, w := range gone.queue.waiting {
		s.unownedQueue.insert(w)
	}
	delete(s.servers, gone.Name)
}
