package quarantine

import (
	"time"
)

// mark is the state of one fingerprint in the list.
type mark struct {
	service   string
	crashes   int
	expiresAt time.Time
}

// supersedes reports whether m replaces other. Of two marks that expire at about the
// same time, the one with more crashes is kept, which costs at most one additional
// exclusive run.
func (m mark) supersedes(other mark) bool {
	later := m.expiresAt.Sub(other.expiresAt)
	if later > expiryTolerance {
		return m.crashes != other.crashes || later > 10*expiryTolerance
	}
	return later >= -expiryTolerance && m.crashes > other.crashes
}
