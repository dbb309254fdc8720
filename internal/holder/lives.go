package holder

import (
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// listedIncarnations tells the listed life of a server.
type listedIncarnations struct {
	view *facts.View
}

// Current returns the listed life of the server.
func (l listedIncarnations) Current(service, name string) (fleet.Life, bool) {
	s := l.view.Server(name)
	if s == nil || s.Service != service {
		return fleet.Life{}, false
	}
	return s.Life, true
}
