package holder

import (
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// listedIncarnations looks up the current incarnation of a server in the listing.
type listedIncarnations struct {
	snapshot *facts.Snapshot
}

// Current returns the listed incarnation of the server, and false if the service has
// no such server.
func (l listedIncarnations) Current(service, name string) (fleet.Incarnation, bool) {
	s := l.snapshot.Server(name)
	if s == nil || s.Service != service {
		return fleet.Incarnation{}, false
	}
	return s.Incarnation, true
}
