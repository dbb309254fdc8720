package ctl

// notInEffectError means that a wait ended too early.
type notInEffectError struct{ message string }

func (e *notInEffectError) Error() string { return e.message }
