package backend

import "sync"

// Arrivals records the arrivals at all servers.
type Arrivals struct {
	mu     sync.Mutex
	all    []Arrival
	bodies []Body
}

func (a *Arrivals) addBody(body Body) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies = append(a.bodies, body)
}

// Bodies returns what was read of bodies behind early answers so far.
func (a *Arrivals) Bodies() []Body {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Body{}, a.bodies...)
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
