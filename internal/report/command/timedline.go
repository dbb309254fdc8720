package command

import "time"

// timedLine is one line with its time.
type timedLine struct {
	at   time.Time
	text string
}
