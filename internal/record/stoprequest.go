package record

// stopRequest ends a sender.
type stopRequest struct {
	// err settles everything that is pending.
	err error
	// flush sends what is pending nevertheless, so that the mirror learns how
	// requests ended before a planned hand-over.
	flush bool
}
