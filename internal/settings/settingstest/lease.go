package settingstest

import (
	"time"
)

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}
