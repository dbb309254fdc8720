package placing

import "time"

// refusal is what is remembered of a refused attempt.
type refusal struct {
	// softDeadline is that of the first attempt of the caller.
	softDeadline time.Time
	// returnsFrom is the earliest time at which the caller may return. An earlier request with
	// the same content and deadline is another one.
	returnsFrom time.Time
	// place is the place that was booked for the return, or the zero time.
	place time.Time
}
