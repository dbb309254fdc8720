package servers

// Fault is a failure that the next request on a server meets.
type Fault string

// The faults. A request that is run is in the run log.
const (
	// FaultNone has no effect.
	FaultNone Fault = ""
	// FaultMismatchedResponse answers with the ID and body of another request.
	FaultMismatchedResponse Fault = "crossed"
	// FaultNoRequestID answers without a request ID.
	FaultNoRequestID Fault = "no-id"
	// FaultTruncatedBody runs the request, sends half of the body and closes.
	FaultTruncatedBody Fault = "short"
	// FaultNoLength answers with a body that ends with the connection.
	FaultNoLength Fault = "no-length"
	// FaultResetBeforeExecution resets the connection without running the request.
	FaultResetBeforeExecution Fault = "reset-unread"
	// FaultResetAfterExecution runs the request and resets the connection before the answer.
	FaultResetAfterExecution Fault = "reset-run"
	// FaultResetInHeader runs the request and resets the connection within the header.
	FaultResetInHeader Fault = "reset-header"
	// FaultResetInBody runs the request and resets the connection within the body.
	FaultResetInBody Fault = "reset-body"
	// FaultPlain503 answers 503 without saying that the request was not run, although it ran.
	FaultPlain503 Fault = "plain-503"
	// FaultMismatchedRefusal answers "not run" for another request ID, although the request ran.
	FaultMismatchedRefusal Fault = "foreign-refusal"
	// FaultHang runs the request and answers only when the connection is closed.
	FaultHang Fault = "hang"
)

// CrashMarker in the path or in the first 64 KB of the body crashes the server that runs the request.
const CrashMarker = "crash-marker"

// executesFirst reports whether the request is run before the fault shows.
func (f Fault) executesFirst() bool {
	return f != FaultResetBeforeExecution
}
