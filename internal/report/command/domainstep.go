package command

import "time"

// domainStep is one line with its time.
type domainStep struct {
	at   time.Time
	text string
}
