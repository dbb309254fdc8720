package events

import (
	"time"
)

// line is a queued log line. loggerFields are the fields of its logger and eventFields
// those passed to Emit, both as alternating names and values.
type line struct {
	event        Event
	at           time.Time
	loggerFields []any
	eventFields  []any
}
