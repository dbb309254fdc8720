package servers

// Fault is a fault that is injected into the next request of a server.
type Fault string

// The faults. Each request that is executed is in the run log.
const (
	// FaultNone has no effect.
	FaultNone Fault = ""
	// FaultMismatchedResponse responds with the ID and body of another request.
	FaultMismatchedResponse Fault = "crossed"
	// FaultNoRequestID responds without a request ID.
	FaultNoRequestID Fault = "no-id"
	// FaultTruncatedBody executes the request, sends half of the body and closes the connection.
	FaultTruncatedBody Fault = "short"
	// FaultNoLength responds without Content-Length; the body ends when the connection closes.
	FaultNoLength Fault = "no-length"
	// FaultResetBeforeExecution resets the connection without executing the request.
	FaultResetBeforeExecution Fault = "reset-unread"
	// FaultResetAfterExecution executes the request and resets the connection before the response.
	FaultResetAfterExecution Fault = "reset-run"
	// FaultResetInHeader executes the request and resets the connection within the header.
	FaultResetInHeader Fault = "reset-header"
	// FaultResetInBody executes the request and resets the connection within the body.
	FaultResetInBody Fault = "reset-body"
	// FaultPlain503 responds 503 without marking the request as not run; the request was executed.
	FaultPlain503 Fault = "plain-503"
	// FaultMismatchedRefusal responds "not run" for another request ID; the request was executed.
	FaultMismatchedRefusal Fault = "foreign-refusal"
	// FaultHang executes the request and sends no response until the caller closes the connection.
	FaultHang Fault = "hang"
)

// CrashMarker in the path or in the first 64 KB of the body crashes the server that executes the request.
const CrashMarker = "crash-marker"

// executesFirst reports whether the request is executed before the fault takes effect.
func (f Fault) executesFirst() bool {
	return f != FaultResetBeforeExecution
}
