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
	// parked holds requests for keys that have no owner at the moment.
	parked  queue
	repeats repeats
	heat    *KeyRates
	// took is the average service time of all servers in seconds.
	took float64
}

// slots returns the usable slots.
func (s *service) slots() int {
	n := 0
	for _, v := range s.servers {
		if !v.out {
			n += v.Slots
		}
	}
	return n
}
