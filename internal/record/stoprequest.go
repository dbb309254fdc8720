package record

// stopRequest tells a sender to stop.
type stopRequest struct {
	// err is the result of all pending copies.
	err error
	// flush sends the pending records nevertheless, so that the mirror learns how
	// requests ended before a planned hand-over.
	flush bool
}
