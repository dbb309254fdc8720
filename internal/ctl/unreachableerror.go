package ctl

// unreachableError means that the store or all instances were unreachable.
type unreachableError struct{ message string }

func (e *unreachableError) Error() string { return e.message }
