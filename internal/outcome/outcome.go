// Package outcome determines what may be reported about a request after a failure,
// and whether it may be retried. It does no I/O and keeps no state; it implements
// the table in section 3.5 of docs/design.md.
package outcome

// Outcome is what the system reports about the execution of a request.
type Outcome string

// The three outcomes. Every request ends in exactly one of them.
const (
	// Answered means that the caller received the complete response of a backend server.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)
