package command

// usageError reports wrong arguments; the program then exits with ExitUsage.
type usageError struct{ error }
