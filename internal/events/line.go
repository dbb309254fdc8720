package events

import (
	"time"
)

type line struct {
	event  Event
	at     time.Time
	fields []any
	more   []any
}
