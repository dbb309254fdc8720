package exchange

import (
	"time"
)

type storedMark struct {
	service   string
	crashes   int
	expiresAt time.Time // by the local monotonic clock
}
