package link

import "time"

// clockOffsets holds what messages have shown of how far the clock of the other end is ahead:
// at least by their stamp less their arrival. The largest value is that of the message with
// the shortest way.
type clockOffsets struct {
	// best is the largest value since then, by the own clock, and previous that of the window
	// before it.
	best, previous time.Duration
	since          time.Duration
}
