package backend

import "time"

// keyGrant is the right of an incarnation to run requests of one key.
type keyGrant struct {
	fence int64
	// since is when the grant took effect, unless it was renewed without a gap; until is when it ends.
	since, until time.Time
	// arrivedAt is the arrival of the last call that granted the key.
	arrivedAt time.Time
	// lastStart is the start of the last request of the key.
	lastStart time.Time
	// released is set when the grant was ended by a release, during which running requests go on.
	released bool
	running  int
}

func (g *keyGrant) validAt(now time.Time) bool {
	return now.Before(g.until)
}
