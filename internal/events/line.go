package events

import (
	"time"
)

type line struct {
	event        Event
	at           time.Time
	loggerFields []any
	eventFields  []any
}
