package settingstest

import (
	"time"
)

// lease is a granted lease; timer ends it after ttl without a renewal.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}
