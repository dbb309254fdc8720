package soak

import "time"

// stall is a time in which a process of the soak waited for a processor.
type stall struct {
	at     time.Time
	length time.Duration
}
