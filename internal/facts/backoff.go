package facts

import "time"

// Backoff tells how long requests begin no reading after one that failed.
type Backoff struct {
	// InFleet returns the wait while a holder tells this instance what others read. It may grow
	// with the fleet, in which any reading that succeeds is enough.
	InFleet func() time.Duration
	// Alone returns the wait while this instance hears of the store from nobody else.
	Alone func() time.Duration
	// IsAlone reports which of them holds now, as that may change while an instance waits.
	IsAlone func() bool
}
