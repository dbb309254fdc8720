package quarantine

import (
	"time"
)

// mark is one fingerprint of the list.
type mark struct {
	service   string
	crashes   int
	expiresAt time.Time
}

// supersedes reports whether m is news. Of two marks of about the same time the
// one with more crashes is kept, which costs at most one more exclusive run.
func (m mark) supersedes(other mark) bool {
	later := m.expiresAt.Sub(other.expiresAt)
	if later > expiryTolerance {
		return m.crashes != other.crashes || later > 10*expiryTolerance
	}
	return later >= -expiryTolerance && m.crashes > other.crashes
}
