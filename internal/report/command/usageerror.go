package command

// usageError is a call that cannot be carried out as it is.
type usageError struct{ error }
