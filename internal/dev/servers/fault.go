package servers

// Fault is a failure that the next request on a server meets.
type Fault string

// The faults. A request that is run is in the run log.
const (
	// FaultNone has no effect.
	FaultNone Fault = ""
	// FaultMismatchedResponse answers with the ID and body of another request.
	FaultMismatchedResponse Fault = "crossed"
	// FaultNoID answers without a request ID.
	FaultNoID Fault = "no-id"
	// FaultTruncatedBody runs the request, sends half of the body and closes.
	FaultTruncatedBody Fault = "short"
	// FaultNoLength answers with a body that ends with the connection.
	FaultNoLength Fault = "no-length"
	// FaultResetUnread resets the connection without running the request.
	FaultResetUnread Fault = "reset-unread"
	// FaultResetRun runs the request and resets the connection before the answer.
	FaultResetRun Fault = "reset-run"
	// FaultResetHeader runs the request and resets the connection within the header.
	FaultResetHeader Fault = "reset-header"
	// FaultResetBody runs the request and resets the connection within the body.
	FaultResetBody Fault = "reset-body"
	// FaultPlain503 answers 503 without saying that the request was not run, although it ran.
	FaultPlain503 Fault = "plain-503"
	// FaultForeignRefusal answers "not run" for another request ID, although the request ran.
	FaultForeignRefusal Fault = "foreign-refusal"
	// FaultHang runs the request and answers only when the connection is closed.
	FaultHang Fault = "hang"
)

// CrashMarker in the path or in the first 64 KB of the body crashes the server that runs the request.
const CrashMarker = "crash-marker"

// runsFirst reports whether the request is run before the fault shows.
func (f Fault) runsFirst() bool {
	return f != FaultResetUnread
}
