package servers

import "time"

type timedValue[T any] struct {
	at    time.Time
	value T
}
