package quarantine

import (
	"time"
)

// suspect is a request whose connection was lost without an answer.
type suspect struct {
	fingerprint Fingerprint
	lostAt      time.Time
}
