package quarantine

import (
	"time"
)

// mark is one fingerprint of the list.
type mark struct {
	service string
	crashes int
	until   time.Time
}

// supersedes reports whether m is news. Of two marks of about the same time the
// one with more crashes is kept, which costs at most one more exclusive run.
func (m mark) supersedes(other mark) bool {
	later := m.until.Sub(other.until)
	if later > tolerance {
		return m.crashes != other.crashes || later > 10*tolerance
	}
	return later >= -tolerance && m.crashes > other.crashes
}
