package demo

import "context"

// plannedEvent is a failure or a change of settings that the demo injects under load.
type plannedEvent struct {
	// loadFraction is the time of the event as a fraction of the duration of the load.
	loadFraction float64
	description  string
	run          func(ctx context.Context) error
}
