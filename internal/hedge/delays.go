package hedge

import "sync"

// Delays holds the delay of each service. It is safe for concurrent use.
type Delays struct {
	share     float64
	byService sync.Map // service name to *Delay
}

// NewDelays returns delays for hedges that are at most the given share of the requests.
func NewDelays(share float64) *Delays {
	return &Delays{share: share}
}

// Of returns the delay of a service.
func (d *Delays) Of(service string) *Delay {
	if known, ok := d.byService.Load(service); ok {
		return known.(*Delay)
	}
	known, _ := d.byService.LoadOrStore(service, NewDelay(d.share))
	return known.(*Delay)
}
