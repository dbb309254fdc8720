package ctl

// notInEffectError means that a wait ended before the version was in effect at all instances.
type notInEffectError struct{ message string }

func (e *notInEffectError) Error() string { return e.message }
