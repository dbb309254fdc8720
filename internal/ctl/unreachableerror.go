package ctl

// unreachableError means that an instance did not answer.
type unreachableError struct{ message string }

func (e *unreachableError) Error() string { return e.message }
