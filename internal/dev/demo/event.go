package demo

import "context"

// event is one planned failure or change.
type event struct {
	// share is when it happens, as a part of the load's time.
	share float64
	what  string
	run   func(ctx context.Context) error
}
