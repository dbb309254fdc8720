package demo

import "context"

// plannedEvent is one planned failure or change.
type plannedEvent struct {
	// loadFraction is when it happens, as a part of the load's time.
	loadFraction float64
	description  string
	run          func(ctx context.Context) error
}
