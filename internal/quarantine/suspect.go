package quarantine

import (
	"time"
)

// suspect is a request whose connection died.
type suspect struct {
	fingerprint Fingerprint
	lostAt      time.Time
}
