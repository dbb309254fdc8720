package admission

// Priority orders the queue before the deadline does; higher goes first.
type Priority int
