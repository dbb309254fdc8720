// Package outcome decides what may be claimed about a request after each
// failure. It is pure; docs/design.md section 3.5 holds the table it implements.
package outcome

// Outcome is what the system claims happened to a request.
type Outcome string

// The three outcomes. Every request ends in exactly one of them.
const (
	// Answered means that the caller got the whole answer of a backend server.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)
