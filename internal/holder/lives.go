package holder

import (
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// lives tells the listed life of a server.
type lives struct {
	view *facts.Snapshot
}

// Current returns the listed life of the server.
func (l lives) Current(service, name string) (fleet.Incarnation, bool) {
	s := l.view.Server(name)
	if s == nil || s.Service != service {
		return fleet.Incarnation{}, false
	}
	return s.Incarnation, true
}
