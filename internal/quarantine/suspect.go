package quarantine

import (
	"time"
)

// suspect is a request whose connection was lost without a response.
type suspect struct {
	fingerprint Fingerprint
	lostAt      time.Time
}
