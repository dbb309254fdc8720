package backend

import "sync"

// Arrivals records the arrivals at all servers.
type Arrivals struct {
	mu  sync.Mutex
	all []Arrival
}

func (a *Arrivals) add(arrival Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, arrival)
}

// All returns the arrivals so far.
func (a *Arrivals) All() []Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Arrival{}, a.all...)
}
