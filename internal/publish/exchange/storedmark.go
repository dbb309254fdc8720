package exchange

import (
	"time"
)

type storedMark struct {
	service   string
	crashes   int
	expiresAt time.Time // on the local monotonic clock
}
