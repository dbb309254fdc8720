package check

// Violation is one case in which a promise was not kept.
type Violation struct {
	// Check names the check that found it.
	Check string
	// Message says what happened, with the IDs concerned.
	Message string
	// RequestIDs are the attempts concerned.
	RequestIDs []string
}
