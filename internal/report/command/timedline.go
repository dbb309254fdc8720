package command

import "time"

// timedLine is one output line about an event, with its time.
type timedLine struct {
	at   time.Time
	text string
}
