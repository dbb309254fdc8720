package exchange

import (
	"time"
)

type heldMark struct {
	service string
	crashes int
	until   time.Time // on the local monotonic clock
}
