package servers

import "time"

type dated[T any] struct {
	at    time.Time
	value T
}
